"""The size that decides the design: what the operators have written down, and what is assumed beside it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import NormalDist

# As the operators have written it down.
PLANNERS = 15_000
SERVERS = 48_000
SERVICES = 2_100
REGIONS = 36
ZONES = 85
REQUESTS = 990_000  # per second, at the peak
ROUTES = 40_000
TENANTS = 500_000
CONFIGURATION_CHANGES = 12_000  # per day
IN_FORCE_SECONDS = 5.0  # within which a change of configuration holds everywhere
PROXY_ADDED_MS = 2.4  # added to a request, for 99 in 100
RESTARTS = 13_000  # of servers, per day
FAILURES = 120  # of servers, per day
CONTROL_MACHINES = 17
ZONE_SERVERS = 565  # in one zone: 48,000 over 85
CORE_BUDGET = 0.028  # cores a planner may use for control
MEMORY_BUDGET_MB = 128.0  # of a planner
BYTES_BUDGET = 4_000.0  # bytes per second of a planner for control

# Assumed; docs/CAPACITY.md says why.
REQUESTS_PER_PROXY = 15.0  # per second
SIZE_SIGMA = 1.6  # of the log-normal distribution of services' sizes, as `scale.fleet` draws them
CELL_SERVERS = 512  # limit of a cell, as the plan file's limits
CELL_PLANNERS = 16  # limit of a cell, as the plan file's limits
ENTRIES_A_RESTART = 3  # draining, removed, back
ENTRIES_A_FAILURE = 2  # removed, back
CONFIGURATION_BYTES = 1_000  # of one change
TENANT_BYTES = 100  # of what a proxy has to know of a tenant
PROBES_A_REQUEST = 0.06  # health checks, at most, all planners together (docs/fleet.md)
LINK_BYTES = 1.25e9  # per second, of one machine: 10 Gbit/s
RELAY_CORE = 1.0  # a relay is one process with one thread
BEAT_SECONDS = 2.0  # between the empty lines of a quiet watch, by the protocol
BEAT_BYTES = 6  # of such a line as one chunk

DAY_SECONDS = 86_400.0
PROXIES = round(REQUESTS / REQUESTS_PER_PROXY)
LIST_CHANGES = (RESTARTS * ENTRIES_A_RESTART + FAILURES * ENTRIES_A_FAILURE) / DAY_SECONDS  # a second
REGION_SERVERS = round(SERVERS / REGIONS)
PLANNERS_PER_SERVER = PLANNERS / SERVERS


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """One service, and the cells it takes."""

    servers: int
    planners: int
    cells: int

    def requests(self) -> float:
        """A second, in proportion to its servers."""
        return REQUESTS * self.servers / SERVERS


def service_sizes() -> list[ServiceSize]:
    """All services, the largest first: the log-normal's quantiles, scaled so that they add up to all servers."""
    shares = [math.exp(SIZE_SIGMA * NormalDist().inv_cdf((rank + 0.5) / SERVICES)) for rank in range(SERVICES)]
    scale = SERVERS / sum(shares)
    return [service(max(1, round(share * scale))) for share in reversed(shares)]


def service(servers: int) -> ServiceSize:
    """A service of so many servers, with its planners and cells."""
    planners = max(1, round(servers * PLANNERS_PER_SERVER))
    cells = max(math.ceil(servers / CELL_SERVERS), math.ceil(planners / CELL_PLANNERS))
    return ServiceSize(servers, planners, cells)


def watchers_of_a_change(sizes: list[ServiceSize]) -> float:
    """Planners in the cell of a server drawn evenly: so many are told of an average change, with cells."""
    return sum(one.servers * one.planners / one.cells for one in sizes) / sum(one.servers for one in sizes)
