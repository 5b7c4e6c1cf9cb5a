"""Two changes of configuration within two seconds, the second while the discovery of the first has not answered yet."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.standins import Deployment, Discovery, run_case, wait_until  # noqa: E402

SERVERS = 6
PROXIES = 8
RATE = 5.0  # requests per second of each proxy and class: 80 in all, 0.53 of what the servers can do
FIRST_CHANGE_S = 6.0
CLOSE_AFTER_S = 1.5  # the old address closes what is still open after 1.5 s
ANSWER_DELAY_S = 1.9  # a call may wait up to the time-out of discovery, 2 s
SECOND_CHANGE_AFTER_S = 1.7
DRAIN_AFTER_S = 6.0  # after the second change; time limits hold off for 4 s after SIGHUP
SLACK_S = 1.0  # beyond what the pages allow, for a busy machine
OBSERVED_S = 6.0
FAILED_CALL_FACTOR = 4.0  # four times as long after a failed call


async def play(case: Deployment, has_trouble: bool) -> bool:
    """Change the configuration twice, let a server drain, and return whether the proxies were told."""
    record = case.record
    case.rate = RATE
    for number in range(SERVERS):
        await case.add_server(f"s-{number}", case.zones[number % 2])
    first, second, third = (
        Discovery(record, name, case.fleet, 41) for name in ("discovery-A", "discovery-B", "discovery-C")
    )
    for discovery in (first, second, third):
        await discovery.start()
    await case.start_planner(first)
    await case.start_clients(PROXIES)
    await wait_until(record, FIRST_CHANGE_S)
    current = first
    if has_trouble:
        second.answer_delay_s = ANSWER_DELAY_S
        case.write_config(second.address)
        case.send_signal(signal.SIGHUP)
        case.start_task(first.retire(CLOSE_AFTER_S))
        await asyncio.sleep(SECOND_CHANGE_AFTER_S)
        case.write_config(third.address)
        case.send_signal(signal.SIGHUP)
        case.start_task(second.retire(CLOSE_AFTER_S))
        current = third
    await asyncio.sleep(DRAIN_AFTER_S)
    case.fleet.set_lifecycle("s-0", "terminating")
    drained_at = record.now()
    record.write("s-0 is listed as terminating")
    grace_s = (case.settings["obligations"]["drain_grace"] + 300.0) / 1000.0
    unasked_s = case.settings["obligations"]["ask_within"] * FAILED_CALL_FACTOR / 1000.0
    # Told is what was written to the planner, or what was listed for so long while the planner did not ask.
    while (told_at := current.told.get(("s-0", "terminating"))) is None:
        await asyncio.sleep(0.05)
        case.check_planner()
        if current.contacts == 0 and record.now() >= max(drained_at, current.last_contact_at) + unasked_s:
            told_at = record.now()
            record.write(f"the planner has not asked {current.name} for {unasked_s:g} s: counts as told of s-0")
            break
    else:
        record.write(f"the planner was told of s-0 at {told_at:.3f}")
    late_from = told_at + grace_s + SLACK_S
    await wait_until(record, late_from + OBSERVED_S)
    case.check_planner()
    late = case.late_requests("s-0", late_from)
    record.write(f"calls of the planner: A {first.calls}, B {second.calls}, C {third.calls}")
    record.write(
        f"requests of joined proxies to s-0 over {grace_s + SLACK_S:g} s after the planner was told: {len(late)}"
    )
    return not late


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
