"""What one relay is configured to do: its record in the operators' file, and its cells by the cell plan."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from stackwheel.cells.assignment import CellIndex, relays_for_cell
from stackwheel.cells.plan import CellPlanError, Plan
from stackwheel.cells.plan_file import load_plan
from stackwheel.config_language.errors import OperatorsFileError
from stackwheel.config_language.load import load
from stackwheel.errors import InvalidInputError
from stackwheel.service.config import ConfigError, check_replica_addresses


class RelayConfigError(InvalidInputError):
    """A relay can't be configured; one line that names the place."""


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """The relay's record in the operators' file.

    Attributes:
        name: the relay's name in the cell plan.
        upstream: "host:port", or several, of the discovery service.
        plan: the path of the cell plan.
    """

    name: str
    upstream: str
    plan: Path


def load_relay_config(path: Path) -> RelayConfig:
    """The relay's record in an operators' file.

    Raises:
        RelayConfigError: the file can't be used or turns no relay on.
    """
    try:
        record = load(path).records.relay
    except OperatorsFileError as error:
        raise RelayConfigError("", str(error)) from error
    if not record.enabled:
        raise RelayConfigError(str(path), "relay.on is false")
    try:
        upstream = check_replica_addresses("relay.upstream", record.upstream)
    except ConfigError as error:
        raise RelayConfigError(str(path), str(error)) from error
    return RelayConfig(record.name, upstream, path.parent / record.plan_file)


@dataclass(frozen=True, slots=True)
class RelayAssignment:
    """What a plan assigns to one relay.

    Attributes:
        plan: the plan.
        locate: the cell of a server, by its name and zone.
        cell_by_address: the cell that is served at each address where the relay listens.
    """

    plan: Plan
    locate: Callable[[str, str], str | None]
    cell_by_address: dict[str, str]

    @property
    def cells(self) -> list[str]:
        """The names of the cells that the relay serves."""
        return list(self.cell_by_address.values())


def load_assignment(name: str, path: Path) -> RelayAssignment:
    """What the plan in a file assigns to a relay.

    Raises:
        RelayConfigError: the plan can't be used or does not name the relay.
    """
    try:
        plan = load_plan(path)
    except CellPlanError as error:
        raise RelayConfigError(error.location, error.problem) from error
    return assignment_for_relay(name, plan, str(path))


def assignment_for_relay(name: str, plan: Plan, source: str) -> RelayAssignment:
    """What a plan assigns to a relay.

    Raises:
        RelayConfigError: the plan does not name the relay; the error begins with `source`.
    """
    relay = next((relay for relay in plan.relays if relay.name == name), None)
    if relay is None:
        raise RelayConfigError(f"{source}: relays", f"none is named {name!r}, as relay.name says")
    index = CellIndex(plan)

    def locate(instance_name: str, zone: str) -> str | None:
        """The name of an instance's cell; None if no cell has it."""
        cell = index.cell_of(instance_name, zone)
        return None if cell is None else cell.name

    served = [cell for cell in plan.cells if relay in relays_for_cell(cell.name, plan.relays)]
    return RelayAssignment(plan, locate, {f"{relay.host}:{cell.port}": cell.name for cell in served})
