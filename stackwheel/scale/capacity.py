"""The capacity model: what each role costs at the design size, and what that is of its budget."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean
from typing import NamedTuple

from stackwheel.scale import target_size as design
from stackwheel.scale.slopes import (
    Repeat,
    Result,
    ResultError,
    Usage,
    mean,
    mean_usage,
)

SHOWN_METRICS = ("core", "rss_mb", "control_bytes_in", "control_bytes_out", "data_bytes_in", "data_bytes_out")
MISSING = "*missing*"  # in place of a mechanism
COMPUTED = "computed"  # in place of a measurement

# The mechanisms that carry the load of a row; a test checks that each file, class and function is there.
WATCH = "`wire/discovery_client.py` `DiscoveryClient.watch`"
UPDATES = "`wire/transport.py` `SocketTransport.deliver`"
PEERS = "`policy/peer_planners.py` `PeerPlanners.announce`"
RELAY = "`relay/watch_cache.py` `WatchCache.apply`, `wire/endpoint_list_server.py` `EndpointListServer.perform`"
SCOPE = "`cells/assignment.py` `CellIndex.cell_of` and a relay, where they are configured"
CHOICE = "`forwarder/state.py` `choose`"
HEALTH_CHECK = "`wire/health_checks.py` `check_health`"


@dataclass(frozen=True, slots=True)
class Budget:
    """The budget of one of a role; None where none is stated."""

    core: float | None = None
    memory_mb: float | None = None
    control_bytes: float | None = None  # per second, in and out together
    added_ms: float | None = None  # latency added to a request


PLANNER_BUDGET = Budget(design.CORE_BUDGET, design.MEMORY_BUDGET_MB, design.BYTES_BUDGET)
REGISTRY_BUDGET = Budget(control_bytes=design.LINK_BYTES)
RELAY_BUDGET = Budget(core=design.RELAY_CORE, control_bytes=design.LINK_BYTES)
PROXY_BUDGET = Budget(added_ms=design.PROXY_ADDED_MS)


@dataclass(frozen=True, slots=True)
class Cost:
    """What one of a role costs; bytes and messages are per second. None: not measured here."""

    core: float | None = None
    memory_mb: float | None = None
    control_in: float | None = None  # bytes
    control_out: float | None = None  # bytes
    data_in: float | None = None  # bytes
    data_out: float | None = None  # bytes
    messages_in: float | None = None
    messages_out: float | None = None
    added_ms: float | None = None  # latency added to a request

    def control_bytes(self) -> float | None:
        """Bytes for control, in and out together, as far as they are known."""
        known_sizes = [size for size in (self.control_in, self.control_out) if size is not None]
        return sum(known_sizes) if known_sizes else None


class BudgetNeed(NamedTuple):
    """How much of a budget is needed."""

    budget: str  # its name on the page
    need: float  # over the budget: 1 is all of it


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the page's table: a role in one case."""

    role: str
    case: str
    state: str  # sizes and events of that case
    cost: Cost
    source: str  # where the cost is from
    mechanism: str  # what carries it
    budget: Budget = Budget()
    factor: float = 1.0  # by which the largest measured size is exceeded

    def needs(self) -> dict[str, float]:
        """The cost over the budget, by the name of the budget."""
        cost = self.cost
        budget = self.budget
        pairs = {
            "core": (cost.core, budget.core),
            "memory": (cost.memory_mb, budget.memory_mb),
            "bytes": (cost.control_bytes(), budget.control_bytes),
            "added time": (cost.added_ms, budget.added_ms),
        }
        return {name: need / limit for name, (need, limit) in pairs.items() if need is not None and limit is not None}

    def worst(self) -> BudgetNeed | None:
        """The budget of which the largest part is needed, if any is stated."""
        needs = self.needs()
        return BudgetNeed(*max(needs.items(), key=lambda item: item[1])) if needs else None


def cost_of(usage: Usage) -> Cost:
    """A measured usage as the cost of a row."""
    return Cost(
        core=usage.core,
        memory_mb=usage.rss_mb,
        control_in=usage.control_bytes_in,
        control_out=usage.control_bytes_out,
        data_in=usage.data_bytes_in,
        data_out=usage.data_bytes_out,
        messages_in=usage.control_messages_in + usage.data_messages_in,
        messages_out=usage.control_messages_out + usage.data_messages_out,
    )


@dataclass(frozen=True, slots=True)
class Model:
    """A result of slopes and the sizes of all services, from which rows are computed."""

    result: Result
    sizes: list[design.ServiceSize]  # the largest first

    def direct(self, name: str) -> list[Repeat]:
        """The repeats of a single point; ResultError if it was not measured."""
        if not self.result.direct.get(name):
            raise ResultError("", f"no measured point {name!r}")
        return self.result.direct[name]

    def entry_bytes(self) -> float:
        """Bytes of one server in the list, by the largest full list that was sent."""
        repeats = self.direct("whole list")
        return fmean(repeat.start_list_bytes / repeat.size for repeat in repeats)

    def mean_cost(self, name: str) -> Cost:
        """The mean cost at a single point."""
        return cost_of(mean_usage(self.direct(name)))

    def highest_second(self, name: str) -> Cost:
        """The mean, over the repeats of a single point, of each metric's highest second."""
        return cost_of(mean([repeat.peak for repeat in self.direct(name)]))

    def start_bytes(self, name: str) -> float:
        """Bytes of the list that a planner receives at its start, at a single point."""
        return fmean(repeat.start_list_bytes for repeat in self.direct(name))


class OverBudget(NamedTuple):
    """A row that needs more than one of its budgets."""

    row: Row
    budget: str  # its name on the page
    need: float  # over the budget


def over_budget(rows: Sequence[Row]) -> list[OverBudget]:
    """The rows that need more than a budget, each with the budget that it exceeds most, the worst first."""
    exceeding = [
        OverBudget(row, worst.budget, worst.need)
        for row in rows
        if (worst := row.worst()) is not None and worst.need > 1.0
    ]
    return sorted(exceeding, key=lambda exceeded: -exceeded.need)
