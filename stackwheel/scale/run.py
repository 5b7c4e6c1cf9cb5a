"""One run: starts its processes, plays the scenario, compares all planners with the registry, and reports."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

from stackwheel.scale.children import Role
from stackwheel.scale.comparison import ListComparison, compare_all
from stackwheel.scale.control import (
    Apply,
    ControlError,
    DropEntry,
    GetRecords,
    GetTraffic,
    Record,
    Records,
    Restart,
    Traffic,
)
from stackwheel.scale.entries import Entry
from stackwheel.scale.processes import RunProcesses
from stackwheel.scale.report import Arguments, Progress, Report
from stackwheel.scale.sampling import TrafficReading
from stackwheel.scale.scenarios import PlannerRestart, Scenario, Schedule, ServerChange, draw_schedule
from stackwheel.scale.summary import RunMeasurements, make_report

START_TIMEOUT_S = 180.0  # s until all planners have a list; 15,000 on a busy machine take a good part of it
SETTLE_TIMEOUT_S = 7.0  # s: by the protocol a change counts as delivered after 6 s
SETTLE_POLL_INTERVAL_S = 0.5  # s between two comparisons
SAMPLE_INTERVAL_S = 1.0  # s between two readings of processes and traffic
REPORT_TIMEOUT_S = 120.0  # s for the records, and for the comparison, of 15,000 planners
FAULT_TIME_SHARE = 0.4  # of the duration


class Run:
    """One run from its arguments to its report."""

    def __init__(self, arguments: Arguments, folder: Path, progress: Progress) -> None:
        self.arguments = arguments
        self.progress = progress
        self.processes = RunProcesses(arguments, folder, progress)
        self.schedule: Schedule = draw_schedule(
            self.processes.fleet,
            Scenario(arguments.scenario),
            arguments.duration,
            arguments.event_rate,
            arguments.seed,
        )
        self.measurements: RunMeasurements

    async def run(self) -> Report:
        """From the first process to the report; every process has ended when it returns or fails."""
        processes = self.processes
        try:
            self.measurements = RunMeasurements(
                arguments=self.arguments,
                fleet=processes.fleet,
                layout=processes.layout,
                hollow_planners=processes.hollow_numbers,
                expected_resources=processes.estimate(),
            )
            async with asyncio.timeout(START_TIMEOUT_S + self.arguments.duration + 2 * REPORT_TIMEOUT_S):
                return await self.run_stages()
        finally:
            await processes.end_all()

    async def run_stages(self) -> Report:
        """Start, play the scenario, settle and report, one after another."""
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.processes.start_registry()
            self.measurements.layout = self.processes.layout
            self.measurements.startup_s = await self.processes.start_planners()
        await self.play_scenario()
        settling_since = time.monotonic()
        await self.drop_requested_entry()
        comparison = await self.settle()
        self.measurements.settling_s = time.monotonic() - settling_since
        return await self.report(comparison)

    async def play_scenario(self) -> None:
        """The measured part of the run: changes, restarts, the fault and the readings, each at its time."""
        for child in self.processes.hollow_processes():
            await child.notify_process(Record())
        await self.sample()
        began = time.monotonic()
        sampling = asyncio.create_task(self.sample_periodically())
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.apply_changes(began))
                group.create_task(self.restart_scheduled_planners(began))
                group.create_task(self.inject_fault(began))
                group.create_task(self.wait_until_end(began, self.arguments.duration))
        except* ControlError as errors:
            raise first_error(errors) from None
        finally:
            sampling.cancel()
        await self.sample()
        self.measurements.measured_duration_s = time.monotonic() - began

    async def wait_until_end(self, began: float, duration: float) -> None:
        """Wait until the run has lasted that long; a process that ends meanwhile ends the run."""
        while (remaining := began + duration - time.monotonic()) > 0:
            await asyncio.sleep(min(remaining, SAMPLE_INTERVAL_S))
            self.processes.check_processes()
            self.progress(f"{min(duration, time.monotonic() - began):.0f} of {duration:.0f} s")

    async def apply_changes(self, began: float) -> None:
        """Apply the schedule's changes to the registry, each batch at its time."""
        for batch in self.schedule.batches():
            await sleep_until(began + batch.at)
            await self.processes.registry.notify_process(Apply([entry_after(change) for change in batch.changes]))

    async def restart_scheduled_planners(self, began: float) -> None:
        """Restart planners as the schedule says, each group at its time."""
        for restart in self.schedule.restarts:
            await sleep_until(began + restart.at)
            await self.restart_planners(restart)

    async def restart_planners(self, restart: PlannerRestart) -> None:
        """Restart a group of planners, hollow and real."""
        processes = self.processes
        hollow_numbers = [number for number in restart.planners if number in processes.hollow_process_by_number]
        for child in processes.hollow_processes():
            in_this_process = [
                number for number in hollow_numbers if processes.hollow_process_by_number[number] is child
            ]
            if in_this_process:
                await child.notify_process(Restart(in_this_process))
        real_planners = [
            processes.real_planner_by_number[number]
            for number in restart.planners
            if number in processes.real_planner_by_number
        ]
        await asyncio.gather(*(planner.restart(processes.children, processes.folder) for planner in real_planners))

    async def inject_fault(self, began: float) -> None:
        """Kill a relay if the arguments say so; the planners of its cells go on with their other relay."""
        if self.arguments.fault:
            await sleep_until(began + FAULT_TIME_SHARE * self.arguments.duration)
            victim = self.processes.children.with_role(Role.RELAY)[0]
            self.progress(f"{victim.name} is killed")
            await self.processes.children.kill(victim)

    async def sample_periodically(self) -> None:
        """Take a reading every `SAMPLE_INTERVAL_S` seconds until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            await self.sample()

    async def sample(self) -> None:
        """Read what each process takes, and the traffic counted so far."""
        self.measurements.sampler.read_processes(list(self.processes.children.running))
        registry = await self.processes.registry.request(GetTraffic(), Traffic)
        hollow = await self.processes.request_hollow_processes(GetTraffic(), Traffic)
        reading = TrafficReading(
            monotonic_s=time.monotonic(),
            registry=registry,
            hollow_processes=hollow,
            real_planners=self.processes.real_planner_bytes(Role.REAL_PLANNER),
            full_list_planners=self.processes.real_planner_bytes(Role.FULL_LIST_PLANNER),
        )
        self.measurements.traffic_readings.append(reading)
        self.measurements.sampler.add_traffic(reading)

    async def drop_requested_entry(self) -> None:
        """Drop an entry at one hollow planner if the arguments say so, so that the comparison has to fail."""
        if self.arguments.plant:
            number = min(self.processes.hollow_process_by_number)
            await self.processes.hollow_process_by_number[number].notify_process(DropEntry(number))

    async def settle(self) -> ListComparison:
        """Compare until every planner is right, or the last change must have been delivered."""
        began = time.monotonic()
        processes = self.processes
        async with asyncio.timeout(REPORT_TIMEOUT_S):
            while True:
                requested_at = time.monotonic()
                comparison = await compare_all(
                    processes.registry,
                    processes.layout,
                    processes.hollow_process_by_number,
                    processes.real_planner_by_number.values(),
                )
                if comparison.wrong_entry_count == 0 or requested_at > began + SETTLE_TIMEOUT_S:
                    return comparison
                self.progress(f"{comparison.wrong_entry_count} entries wrong, settling")
                await asyncio.sleep(SETTLE_POLL_INTERVAL_S)

    async def report(self, comparison: ListComparison) -> Report:
        """Collect the records of the hollow planners, and make the report."""
        self.progress("records")
        async with asyncio.timeout(REPORT_TIMEOUT_S):
            self.measurements.records = await self.processes.request_hollow_processes(GetRecords(), Records)
        return await asyncio.to_thread(make_report, self.measurements, comparison)


async def sleep_until(at: float) -> None:
    """Sleep until a time of the monotonic clock, in seconds; give way once where it has passed."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))


def first_error(errors: ExceptionGroup[ControlError]) -> ControlError:
    """The first error of a group: the others follow from it."""
    first = errors.exceptions[0]
    return first_error(first) if isinstance(first, ExceptionGroup) else first


def entry_after(change: ServerChange) -> Entry:
    """A change as the registry lists it. A server that returns is a process that has just started."""
    return Entry(change.server.name, change.server.address, change.server.zone, change.lifecycle, change.started_at_ms)


async def run_scale(arguments: Arguments, progress: Progress = lambda _text: None) -> Report:
    """Make a run.

    Raises:
        ScaleError: the machine can't provide what the run needs.
        ControlError: a process of the run failed.
        TimeoutError: the run did not end in time.
    """
    with tempfile.TemporaryDirectory(prefix="stackwheel-scale-") as folder:
        return await Run(arguments, Path(folder), progress).run()
