"""Reads the configuration of a relay: its record in the operators' file, and its cells in the cell plan."""

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
    """The configuration of a relay is invalid; the message is one line and names the file and field."""


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """The relay's record in the operators' file.

    Attributes:
        name: the relay's name in the cell plan.
        upstream: address "host:port" of the discovery service, or comma-separated addresses of its replicas.
        plan: the path of the cell plan.
    """

    name: str
    upstream: str
    plan: Path


def load_relay_config(path: Path) -> RelayConfig:
    """Read the relay's record in an operators' file.

    Raises:
        RelayConfigError: the file is invalid, cannot be read or does not enable the relay.
    """
    try:
        record = load(path).records.relay
    except OperatorsFileError as error:
        raise RelayConfigError("", str(error)) from error
    if not record.enabled:
        raise RelayConfigError(str(path), "relay.on is false, so no relay is enabled")
    try:
        upstream = check_replica_addresses("relay.upstream", record.upstream)
    except ConfigError as error:
        raise RelayConfigError(str(path), str(error)) from error
    return RelayConfig(record.name, upstream, path.parent / record.plan_file)


@dataclass(frozen=True, slots=True)
class RelayAssignment:
    """The cells that a cell plan assigns to one relay.

    Attributes:
        plan: the complete cell plan.
        locate: returns the name of a server's cell, given the names of the server and its zone; None if the
            plan has no cell for the server.
        cell_by_address: name of the cell that the relay serves, by listening address "host:port".
    """

    plan: Plan
    locate: Callable[[str, str], str | None]
    cell_by_address: dict[str, str]

    @property
    def cells(self) -> list[str]:
        """Names of the cells that the relay serves."""
        return list(self.cell_by_address.values())


def load_assignment(name: str, path: Path) -> RelayAssignment:
    """Return the cells that the cell plan in a file assigns to a relay.

    Raises:
        RelayConfigError: the file cannot be read, or the plan is invalid or does not contain the relay.
    """
    try:
        plan = load_plan(path)
    except CellPlanError as error:
        raise RelayConfigError(error.location, error.problem) from error
    return assignment_for_relay(name, plan, str(path))


def assignment_for_relay(name: str, plan: Plan, source: str) -> RelayAssignment:
    """Return the cells that a cell plan assigns to a relay.

    Raises:
        RelayConfigError: the plan does not contain the relay; the message begins with `source`.
    """
    relay = next((relay for relay in plan.relays if relay.name == name), None)
    if relay is None:
        raise RelayConfigError(f"{source}: relays", f"no relay is named {name!r}, the value of relay.name")
    index = CellIndex(plan)

    def locate(instance_name: str, zone: str) -> str | None:
        """Return the name of an instance's cell; None if the plan has no cell for it."""
        cell = index.cell_of(instance_name, zone)
        return None if cell is None else cell.name

    served = [cell for cell in plan.cells if relay in relays_for_cell(cell.name, plan.relays)]
    return RelayAssignment(plan, locate, {f"{relay.host}:{cell.port}": cell.name for cell in served})
