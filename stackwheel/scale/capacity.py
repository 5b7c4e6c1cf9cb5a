"""Each role's cost at the design size, worked out from a result file of slopes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean

from stackwheel.scale import target_size as design
from stackwheel.scale.slopes import (
    Repeat,
    Result,
    ResultError,
    Usage,
    mean,
    mean_usage,
)

SHOWN = ("core", "rss_mb", "control_bytes_in", "control_bytes_out", "data_bytes_in", "data_bytes_out")
MISSING = "*missing*"
NOT_MEASURED = "computed"
WATCH = "`wire/discovery_client.py` `DiscoveryClient.watch`"
ORDERS = "`wire/transport.py` `SocketTransport.deliver`"
PEERS = "`policy/peer_planners.py` `PeerPlanners.announce`"
RELAY = "`relay/watch_cache.py` `WatchCache.apply`, `wire/endpoint_list_server.py` `EndpointListServer.perform`"
SCOPE = "`cells/assignment.py` `CellIndex.cell_of` and a relay, where they are configured"
CHOICE = "`forwarder/state.py` `choose`"
PROBE = "`wire/health_checks.py` `check_health`"


@dataclass(frozen=True, slots=True)
class Budget:
    """What a row is held against; None where nothing is stated."""

    core: float | None = None
    memory_mb: float | None = None
    control_bytes: float | None = None  # a second, in and out together
    added_ms: float | None = None


PLANNER_BUDGET = Budget(design.CORE_BUDGET, design.MEMORY_BUDGET_MB, design.BYTES_BUDGET)
REGISTRY_BUDGET = Budget(control_bytes=design.LINK_BYTES)
RELAY_BUDGET = Budget(core=design.RELAY_CORE, control_bytes=design.LINK_BYTES)
PROXY_BUDGET = Budget(added_ms=design.PROXY_ADDED_MS)


@dataclass(frozen=True, slots=True)
class Cost:
    """What one of a role costs; bytes and messages a second. None: not measured here."""

    core: float | None = None
    memory_mb: float | None = None
    control_in: float | None = None
    control_out: float | None = None
    data_in: float | None = None
    data_out: float | None = None
    messages_in: float | None = None
    messages_out: float | None = None
    added_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table."""

    role: str
    case: str
    state: str
    cost: Cost
    source: str
    mechanism: str
    budget: Budget = Budget()
    factor: float = 1.0  # beyond the largest measured size

    def needs(self) -> dict[str, float]:
        """Need over budget, by what is budgeted."""
        cost = self.cost
        budget = self.budget
        known_sizes = [size for size in (cost.control_in, cost.control_out) if size is not None]
        control = sum(known_sizes) if known_sizes else None
        pairs = {
            "core": (cost.core, budget.core),
            "memory": (cost.memory_mb, budget.memory_mb),
            "bytes": (control, budget.control_bytes),
            "added time": (cost.added_ms, budget.added_ms),
        }
        return {name: need / most for name, (need, most) in pairs.items() if need is not None and most is not None}

    def worst(self) -> tuple[str, float] | None:
        """The budget that is needed most of."""
        needs = self.needs()
        return max(needs.items(), key=lambda item: item[1]) if needs else None


def cost_of(usage: Usage) -> Cost:
    """A measured usage as a row's cost."""
    return Cost(
        usage.core,
        usage.rss_mb,
        usage.control_bytes_in,
        usage.control_bytes_out,
        usage.data_bytes_in,
        usage.data_bytes_out,
        usage.control_messages_in + usage.data_messages_in,
        usage.control_messages_out + usage.data_messages_out,
    )


@dataclass(frozen=True, slots=True)
class Model:
    """A result, and what is worked out from it."""

    result: Result
    sizes: list[design.ServiceSize]

    def direct(self, name: str) -> list[Repeat]:
        """The repeats of a point measured as such."""
        if not self.result.direct.get(name):
            raise ResultError(f"no measured point {name!r}")
        return self.result.direct[name]

    def entry_bytes(self) -> float:
        """Of one server in the list, from the largest list that was sent whole."""
        repeats = self.direct("whole list")
        return fmean(one.start_list_bytes / one.size for one in repeats)

    def mean_cost(self, name: str) -> Cost:
        """The mean of a measured point."""
        return cost_of(mean_usage(self.direct(name)))

    def highest_second(self, name: str) -> Cost:
        """The mean, over repeats, of each metric's highest second."""
        return cost_of(mean([one.peak for one in self.direct(name)]))

    def start_bytes(self, name: str) -> float:
        """Of the whole list or part, as a planner that starts is sent it."""
        return fmean(one.start_list_bytes for one in self.direct(name))


def over_budget(rows: Sequence[Row]) -> list[tuple[Row, str, float]]:
    """Rows that need more than their budget, the worst first."""
    found = [(row, *worst) for row in rows if (worst := row.worst()) is not None and worst[1] > 1.0]
    return sorted(found, key=lambda item: -item[2])
