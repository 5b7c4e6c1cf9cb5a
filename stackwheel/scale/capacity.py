"""The capacity model: the cost of each role at the target size, and the share of its budget."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean
from typing import NamedTuple

from stackwheel.scale import target_size as target
from stackwheel.scale.slopes import (
    Repeat,
    Result,
    ResultError,
    Usage,
    mean_of_usages,
    mean_usage,
)

SHOWN_METRICS = ("core", "rss_mb", "control_bytes_in", "control_bytes_out", "data_bytes_in", "data_bytes_out")
MISSING_MECHANISM = "*missing*"  # no mechanism is implemented
COMPUTED_SOURCE = "computed"  # the cost was not measured

# Code that handles the load of a row; a test checks that each file, class and function exists.
WATCH_MECHANISM = "`wire/discovery_client.py` `DiscoveryClient.watch`"
UPDATE_MECHANISM = "`wire/transport.py` `SocketTransport.deliver`"
GOSSIP_MECHANISM = "`policy/peer_planners.py` `PeerPlanners.announce`"
RELAY_MECHANISM = (
    "`relay/watch_cache.py` `WatchCache.apply`, `wire/endpoint_list_server.py` `EndpointListServer.perform`"
)
CELL_MECHANISM = "`cells/assignment.py` `CellIndex.cell_of` and a relay, where they are configured"
CHOICE_MECHANISM = "`forwarder/state.py` `choose`"
HEALTH_CHECK_MECHANISM = "`wire/health_checks.py` `check_health`"


@dataclass(frozen=True, slots=True)
class Budget:
    """The budget of one instance of a role; None if the operators have stated none.

    Attributes:
        core: CPU time as a share of one core.
        memory_mb: resident memory.
        control_bytes: control traffic per second, received and sent together.
        added_ms: latency added to a request.
    """

    core: float | None = None
    memory_mb: float | None = None
    control_bytes: float | None = None
    added_ms: float | None = None


PLANNER_BUDGET = Budget(target.CORE_BUDGET, target.MEMORY_BUDGET_MB, target.CONTROL_BYTES_PER_S_BUDGET)
REGISTRY_BUDGET = Budget(control_bytes=target.LINK_BYTES_PER_S)
RELAY_BUDGET = Budget(core=target.RELAY_CORE_BUDGET, control_bytes=target.LINK_BYTES_PER_S)
PROXY_BUDGET = Budget(added_ms=target.MAX_ADDED_LATENCY_MS)


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one instance of a role; None if it is unknown.

    Attributes:
        core: CPU time as a share of one core.
        memory_mb: resident memory.
        control_bytes_in: received control traffic per second.
        control_bytes_out: sent control traffic per second.
        data_bytes_in: received data traffic per second.
        data_bytes_out: sent data traffic per second.
        messages_in: received messages per second.
        messages_out: sent messages per second.
        added_ms: latency added to a request.
    """

    core: float | None = None
    memory_mb: float | None = None
    control_bytes_in: float | None = None
    control_bytes_out: float | None = None
    data_bytes_in: float | None = None
    data_bytes_out: float | None = None
    messages_in: float | None = None
    messages_out: float | None = None
    added_ms: float | None = None

    def total_control_bytes(self) -> float | None:
        """Return the control bytes received and sent per second, without unknown values; None if both are unknown."""
        known_bytes = [size for size in (self.control_bytes_in, self.control_bytes_out) if size is not None]
        return sum(known_bytes) if known_bytes else None


class BudgetUse(NamedTuple):
    """The share of a budget that is used.

    Attributes:
        budget: name of the budget on the page.
        share: cost / budget.
    """

    budget: str
    share: float


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table of roles on the page: the cost of a role in one case.

    Attributes:
        role: name of the role.
        case: name of the case.
        state: sizes and events of the case.
        cost: of one instance of the role.
        source: how the cost was determined.
        mechanism: the code that handles the load.
        budget: of one instance of the role.
        extrapolation_factor: ratio of the size to the largest measured one, at least 1.
    """

    role: str
    case: str
    state: str
    cost: Cost
    source: str
    mechanism: str
    budget: Budget = Budget()
    extrapolation_factor: float = 1.0

    def budget_shares(self) -> dict[str, float]:
        """Return cost / budget for each budget whose cost is known, by the name of the budget."""
        cost = self.cost
        budget = self.budget
        pairs = {
            "core": (cost.core, budget.core),
            "memory": (cost.memory_mb, budget.memory_mb),
            "bytes": (cost.total_control_bytes(), budget.control_bytes),
            "added time": (cost.added_ms, budget.added_ms),
        }
        return {name: used / limit for name, (used, limit) in pairs.items() if used is not None and limit is not None}

    def highest_budget_use(self) -> BudgetUse | None:
        """Return the budget with the largest used share; None if there is none."""
        shares = self.budget_shares()
        return BudgetUse(*max(shares.items(), key=lambda item: item[1])) if shares else None


def usage_cost(usage: Usage) -> Cost:
    """Convert a measured usage to the cost of a row."""
    return Cost(
        core=usage.core,
        memory_mb=usage.rss_mb,
        control_bytes_in=usage.control_bytes_in,
        control_bytes_out=usage.control_bytes_out,
        data_bytes_in=usage.data_bytes_in,
        data_bytes_out=usage.data_bytes_out,
        messages_in=usage.control_messages_in + usage.data_messages_in,
        messages_out=usage.control_messages_out + usage.data_messages_out,
    )


@dataclass(frozen=True, slots=True)
class Model:
    """A result of `stackwheel scale slopes` and the sizes of all services, largest first."""

    result: Result
    sizes: list[target.ServiceSize]

    def repeats_at(self, name: str) -> list[Repeat]:
        """Return the repeats of a single point.

        Raises:
            ResultError: the point was not measured.
        """
        if not self.result.direct.get(name):
            raise ResultError("", f"no measured point {name!r}")
        return self.result.direct[name]

    def mean_entry_bytes(self) -> float:
        """Return the mean bytes of one entry of the endpoint list, from the largest list that was measured."""
        repeats = self.repeats_at("whole list")
        return fmean(repeat.start_list_bytes / repeat.size for repeat in repeats)

    def mean_cost(self, name: str) -> Cost:
        """Return the mean cost at a single point."""
        return usage_cost(mean_usage(self.repeats_at(name)))

    def highest_second(self, name: str) -> Cost:
        """Return the cost in the highest second of each metric, as the mean over the repeats of a single point."""
        return usage_cost(mean_of_usages([repeat.peak for repeat in self.repeats_at(name)]))

    def start_bytes(self, name: str) -> float:
        """Return the bytes of the endpoint list that a planner receives at its start, at a single point."""
        return fmean(repeat.start_list_bytes for repeat in self.repeats_at(name))


class ExceededBudget(NamedTuple):
    """A row whose cost exceeds a budget.

    Attributes:
        row: the row.
        budget: name of the budget on the page.
        share: cost / budget, greater than 1.
    """

    row: Row
    budget: str
    share: float


def exceeded_budgets(rows: Sequence[Row]) -> list[ExceededBudget]:
    """Return the rows that exceed a budget, each with the budget it exceeds most, in descending order of the share."""
    exceeding = [
        ExceededBudget(row, use.budget, use.share)
        for row in rows
        if (use := row.highest_budget_use()) is not None and use.share > 1.0
    ]
    return sorted(exceeding, key=lambda exceeded: -exceeded.share)
