"""One spoilt report on a server that is replaced soon after; its successor starts cold."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.standins import Deployment, Discovery, Server, run_case, wait_until  # noqa: E402

SERVERS = 12
PROXIES = 8
RATE = 11.0  # requests per second of each proxy and class: 176 in all, 0.59 of what the servers can do
SPOILT_S = 10.0
SPOILT_COUNT = "4000000000"  # tries within a second
REPLACED = "s-2"
SUCCESSOR = "n-2"
DEPLOY_S = 14.0
DRAIN_S = 4.0  # from terminating to terminated
END_S = 34.0
SLACK_REQUESTS = 8  # "a little slack for chance"
# A site whose servers report how busy their cores are, and whose proxies choose evenly by weight.
SETTINGS = {
    "load_report": {"columns": ["utilization", "backlog"], "source": "inline"},
    "bounds": {"peers": True, "probes": False},
}
FAMILY = {"lb_method": "round", "level_kind": "rate", "strikes": 8, "update_cap": 20, "overhead": 6.0}
OBLIGATIONS = {"cold": 18000.0, "cold_share": 0.24, "fall_multiple": 3.0, "overload_for": 2000.0}


class Window(NamedTuple):
    """A window in which a cold server was sent requests: its end, their number and the limit."""

    end: float
    count: int
    limit: float


def worst_window(case: Deployment, server: Server, told_at: float) -> Window:
    """Return the window in which a cold server was sent most against its limit.

    Counted are only the requests of proxies that had applied a message written after the planner was told.
    """
    rules = case.settings["obligations"]
    length = rules["overload_for"] / 1000.0
    knowing = {
        number: next((at for at in proxy.messages if at > told_at), float("inf"))
        for number, proxy in case.proxies.items()
    }
    times = [at for at, number in server.requests if at > knowing[number]]
    worst = Window(0.0, 0, 1.0)
    for end in times:
        if server.present_share(end) < 1.0:
            count = sum(end - length < at <= end for at in times)
            window = Window(end, count, rules["fall_multiple"] * server.capacity(end) * length + SLACK_REQUESTS)
            worst = max(worst, window, key=lambda item: item.count / item.limit)
    return worst


async def play(case: Deployment, has_trouble: bool) -> bool:
    """Spoil one report, replace that server, and return whether its cold successor was spared."""
    record = case.record
    case.rate = RATE
    case.settings.update(SETTINGS)
    case.settings["family_info"].update(FAMILY)
    case.settings["obligations"].update(OBLIGATIONS)
    for number in range(SERVERS):
        await case.add_server(f"s-{number}", case.zones[number % 2])
    discovery = Discovery(record, "discovery", case.fleet)
    await discovery.start()
    await case.start_planner(discovery)
    await case.start_clients(PROXIES)
    await wait_until(record, SPOILT_S)
    if has_trouble:
        case.spoilt_count = SPOILT_COUNT
        case.spoilt_target = REPLACED
        record.write(f"the next report on {REPLACED} arrives spoilt")
    await wait_until(record, DEPLOY_S)
    await case.add_server(SUCCESSOR, case.servers[REPLACED].zone, is_cold=True)
    case.fleet.set_lifecycle(REPLACED, "terminating")
    record.write(f"{SUCCESSOR} is listed as started now, {REPLACED} as terminating")
    await asyncio.sleep(DRAIN_S)
    case.fleet.set_lifecycle(REPLACED, "terminated")
    await wait_until(record, END_S)
    case.check_planner()
    told_at = discovery.told[(SUCCESSOR, "in_service")]
    record.write(f"the planner was told of the start of {SUCCESSOR} at {told_at:.3f}")
    worst = worst_window(case, case.servers[SUCCESSOR], told_at)
    record.write(
        f"worst window of {SUCCESSOR} ends at {worst.end:.3f}: {worst.count} requests of proxies that were sent "
        f"orders since, the limit is {worst.limit:.0f}"
    )
    return worst.count <= worst.limit


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
