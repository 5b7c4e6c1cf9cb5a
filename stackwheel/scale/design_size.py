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
REQUESTS = 990_000  # a second, at the peak
ROUTES = 40_000
TENANTS = 500_000
CONFIGURATION_CHANGES = 12_000  # a day
IN_FORCE_SECONDS = 5.0  # within which a change of configuration holds everywhere
PROXY_ADDED_MS = 2.4  # to a request, for 99 in 100
# of servers, a day
RESTARTS = 13_000
FAILURES = 120
CONTROL_MACHINES = 17
ZONE_SERVERS = 565  # in a zone: 48,000 over 85
# of a planner for control; bytes a second
CORE_BUDGET = 0.028
MEMORY_BUDGET_MB = 128.0
BYTES_BUDGET = 4_000.0

# Assumed; docs/CAPACITY.md says why.
REQUESTS_PER_PROXY = 15.0  # a second
SIZE_SIGMA = 1.6  # of the log-normal services' sizes, as `scale.fleet` draws them
# the mosts of a cell, as the plan file's limits
CELL_SERVERS = 512
CELL_PLANNERS = 16
# drains, has left, is back; has left, is back
ENTRIES_A_RESTART = 3
ENTRIES_A_FAILURE = 2
CONFIGURATION_BYTES = 1_000  # of one change
TENANT_BYTES = 100  # of what a proxy has to know of a tenant
PROBES_A_REQUEST = 0.06  # at most, all planners together (docs/fleet.md)
LINK_BYTES = 1.25e9  # a second, of one machine: 10 Gbit/s
RELAY_CORE = 1.0  # a relay is one process with one thread
# the protocol's empty line in a watch; as one chunk
BEAT_SECONDS = 2.0
BEAT_BYTES = 6

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
