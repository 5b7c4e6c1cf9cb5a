"""The fleet size that the design targets: the figures that the operators have stated, and assumptions."""

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
REQUESTS_PER_S = 990_000  # Peak rate of the entire fleet.
ROUTES = 40_000
TENANTS = 500_000
CONFIGURATION_CHANGES_PER_DAY = 12_000
CONFIGURATION_DEADLINE_S = 5.0  # Maximum time until a configuration change is applied everywhere.
MAX_ADDED_LATENCY_MS = 2.4  # 99th percentile of the latency that a proxy adds to a request.
RESTARTS_PER_DAY = 13_000  # servers that drain, stop and start again
FAILURES_PER_DAY = 120  # servers that stop without draining
CONTROL_MACHINES = 17
SERVERS_PER_ZONE = 565

# Budgets of one planner, stated by the operators.
CORE_BUDGET = 0.028
MEMORY_BUDGET_MB = 128.0
CONTROL_BYTES_PER_S_BUDGET = 4_000.0

# Assumptions; docs/CAPACITY.md gives the reasons.
PROXY_REQUESTS_PER_S = 15.0
SERVICE_SIZE_SIGMA = 1.6  # Sigma of the log-normal distribution of service sizes, as in `scale.fleet`.
MAX_CELL_SERVERS = 512  # default of the plan file
MAX_CELL_PLANNERS = 16  # default of the plan file
ENTRIES_PER_RESTART = 3  # list entries of a server that drains, is removed and returns
ENTRIES_PER_FAILURE = 2  # list entries of a server that is removed and returns
BYTES_PER_CONFIGURATION_CHANGE = 1_000
BYTES_PER_TENANT = 100  # state of one tenant in a proxy
HEALTH_CHECKS_PER_REQUEST = 0.06  # maximum for all planners together (docs/fleet.md)
LINK_BYTES_PER_S = 1.25e9  # network link of a machine, 10 Gbit/s
RELAY_CORE_BUDGET = 1.0  # a relay is one process with one thread
HEARTBEAT_INTERVAL_S = 2.0  # Time between the heartbeat lines of a watch without changes.
BYTES_PER_HEARTBEAT = 6  # an empty line as one HTTP chunk

SECONDS_PER_DAY = 86_400.0
PROXIES = round(REQUESTS_PER_S / PROXY_REQUESTS_PER_S)
LIST_CHANGES_PER_S = (RESTARTS_PER_DAY * ENTRIES_PER_RESTART + FAILURES_PER_DAY * ENTRIES_PER_FAILURE) / SECONDS_PER_DAY
SERVERS_PER_REGION = round(SERVERS / REGIONS)
PLANNERS_PER_SERVER = PLANNERS / SERVERS


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """The number of servers, planners and cells of a service."""

    servers: int
    planners: int
    cells: int

    def requests(self) -> float:
        """Return the requests per second of the service, in proportion to its servers."""
        return REQUESTS_PER_S * self.servers / SERVERS


def service_sizes() -> list[ServiceSize]:
    """Return the sizes of all services, largest first: log-normal quantiles scaled to the number of servers."""
    shares = [math.exp(SERVICE_SIZE_SIGMA * NormalDist().inv_cdf((rank + 0.5) / SERVICES)) for rank in range(SERVICES)]
    scale = SERVERS / sum(shares)
    return [service_size(max(1, round(share * scale))) for share in reversed(shares)]


def service_size(servers: int) -> ServiceSize:
    """Return the size of a service with a given number of servers."""
    planners = max(1, round(servers * PLANNERS_PER_SERVER))
    cells = max(math.ceil(servers / MAX_CELL_SERVERS), math.ceil(planners / MAX_CELL_PLANNERS))
    return ServiceSize(servers, planners, cells)


def mean_watchers_per_change(sizes: list[ServiceSize]) -> float:
    """Return the mean number of planners in the cell of a server, which all receive a change of that server."""
    watchers = sum(size.servers * size.planners / size.cells for size in sizes)
    return watchers / sum(size.servers for size in sizes)
