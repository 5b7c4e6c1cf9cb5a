"""The size that the design is made for: the figures that the operators have stated, and assumptions beside them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import NormalDist

# Stated by the operators.
PLANNERS = 15_000
SERVERS = 48_000
SERVICES = 2_100
REGIONS = 36
ZONES = 85
REQUESTS = 990_000  # per second, at the peak
ROUTES = 40_000
TENANTS = 500_000
CONFIGURATION_CHANGES = 12_000  # per day
IN_FORCE_SECONDS = 5.0  # within which a change of configuration is in force everywhere
PROXY_ADDED_MS = 2.4  # latency added to a request, at the 99th percentile
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
CELL_SERVERS = 512  # limit of a cell, by default of the plan file
CELL_PLANNERS = 16  # limit of a cell, by default of the plan file
ENTRIES_PER_RESTART = 3  # draining, removed, in service again
ENTRIES_PER_FAILURE = 2  # removed, in service again
CONFIGURATION_BYTES = 1_000  # of one change
TENANT_BYTES = 100  # that a proxy has to know about a tenant
HEALTH_CHECKS_PER_REQUEST = 0.06  # at most, all planners together (docs/fleet.md)
LINK_BYTES = 1.25e9  # per second, of one machine: 10 Gbit/s
RELAY_CORE = 1.0  # cores that a relay can use: one process with one thread
HEARTBEAT_SECONDS = 2.0  # between the empty lines of a quiet watch, by the protocol
HEARTBEAT_BYTES = 6  # of such a line as one chunk

DAY_SECONDS = 86_400.0
PROXIES = round(REQUESTS / REQUESTS_PER_PROXY)
LIST_CHANGES = (RESTARTS * ENTRIES_PER_RESTART + FAILURES * ENTRIES_PER_FAILURE) / DAY_SECONDS  # per second
REGION_SERVERS = round(SERVERS / REGIONS)
PLANNERS_PER_SERVER = PLANNERS / SERVERS


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """One service, with the planners and cells that it has."""

    servers: int
    planners: int
    cells: int

    def requests(self) -> float:
        """Requests per second, in proportion to its servers."""
        return REQUESTS * self.servers / SERVERS


def service_sizes() -> list[ServiceSize]:
    """All services, the largest first: quantiles of the log-normal distribution, scaled to the number of servers."""
    shares = [math.exp(SIZE_SIGMA * NormalDist().inv_cdf((rank + 0.5) / SERVICES)) for rank in range(SERVICES)]
    scale = SERVERS / sum(shares)
    return [service(max(1, round(share * scale))) for share in reversed(shares)]


def service(servers: int) -> ServiceSize:
    """A service with this number of servers, and the planners and cells that it has."""
    planners = max(1, round(servers * PLANNERS_PER_SERVER))
    cells = max(math.ceil(servers / CELL_SERVERS), math.ceil(planners / CELL_PLANNERS))
    return ServiceSize(servers, planners, cells)


def watchers_of_a_change(sizes: list[ServiceSize]) -> float:
    """Planners in the cell of a server, on average over all servers: as many receive a change, with cells."""
    watchers = sum(size.servers * size.planners / size.cells for size in sizes)
    return watchers / sum(size.servers for size in sizes)
