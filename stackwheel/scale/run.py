"""One run: starts its processes, executes the scenario, compares all planners with the registry, and reports."""

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

START_TIMEOUT_S = 180.0
SETTLE_TIMEOUT_S = 7.0  # The protocol requires that a change is delivered within 6 s.
SETTLE_POLL_INTERVAL_S = 0.5
SAMPLE_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 120.0  # Applies to the collection of the records and, separately, to the comparison.
FAULT_TIME_SHARE = 0.4  # Share of the run's duration after which the fault is injected.


class Run:
    """One run of a load experiment."""

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
        """Execute the run and return its report; all processes have ended when it returns or raises."""
        processes = self.processes
        try:
            self.measurements = RunMeasurements(
                arguments=self.arguments,
                fleet=processes.fleet,
                layout=processes.layout,
                hollow_planners=processes.hollow_numbers,
                expected_resources=processes.estimate_resources(),
            )
            async with asyncio.timeout(START_TIMEOUT_S + self.arguments.duration + 2 * REPORT_TIMEOUT_S):
                return await self.run_stages()
        finally:
            await processes.end_all()

    async def run_stages(self) -> Report:
        """Start the processes, execute the scenario, wait until planners are up to date, and make the report."""
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.processes.start_registry()
            self.measurements.layout = self.processes.layout
            self.measurements.startup_s = await self.processes.start_planners()
        await self.execute_scenario()
        settling_since = time.monotonic()
        await self.drop_requested_entry()
        comparison = await self.compare_until_correct()
        self.measurements.settling_s = time.monotonic() - settling_since
        return await self.report(comparison)

    async def execute_scenario(self) -> None:
        """Execute the measured part of the run: scheduled changes, restarts, the fault, and samples."""
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
        """Wait until `duration` seconds after `began`; raise an error if a process ends unexpectedly before."""
        while (remaining := began + duration - time.monotonic()) > 0:
            await asyncio.sleep(min(remaining, SAMPLE_INTERVAL_S))
            self.processes.check_processes()
            self.progress(f"{min(duration, time.monotonic() - began):.0f} of {duration:.0f} s")

    async def apply_changes(self, began: float) -> None:
        """Send the scheduled changes to the registry, each batch at its time."""
        for batch in self.schedule.batches():
            await sleep_until(began + batch.at)
            await self.processes.registry.notify_process(Apply([entry_after(change) for change in batch.changes]))

    async def restart_scheduled_planners(self, began: float) -> None:
        """Restart the scheduled groups of planners, each at its time."""
        for restart in self.schedule.restarts:
            await sleep_until(began + restart.at)
            await self.restart_planners(restart)

    async def restart_planners(self, restart: PlannerRestart) -> None:
        """Restart the hollow and real planners of a group."""
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
        """Kill a relay if the arguments request it; the planners of its cells continue with their other relay."""
        if self.arguments.fault:
            await sleep_until(began + FAULT_TIME_SHARE * self.arguments.duration)
            relay = self.processes.children.with_role(Role.RELAY)[0]
            self.progress(f"killing {relay.name}")
            await self.processes.children.kill(relay)

    async def sample_periodically(self) -> None:
        """Take a sample every `SAMPLE_INTERVAL_S` seconds until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            await self.sample()

    async def sample(self) -> None:
        """Read the resource usage and the traffic counters of all processes."""
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
        """Drop an entry at one hollow planner if the arguments request it, so that the comparison has to fail."""
        if self.arguments.plant:
            number = min(self.processes.hollow_process_by_number)
            await self.processes.hollow_process_by_number[number].notify_process(DropEntry(number))

    async def compare_until_correct(self) -> ListComparison:
        """Compare repeatedly until no entry is wrong or `SETTLE_TIMEOUT_S` has passed; return the last comparison."""
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
                self.progress(f"{comparison.wrong_entry_count} entries differ from the list, comparing again")
                await asyncio.sleep(SETTLE_POLL_INTERVAL_S)

    async def report(self, comparison: ListComparison) -> Report:
        """Collect the records of the hollow planners and make the report."""
        self.progress("collecting the records of hollow planners")
        async with asyncio.timeout(REPORT_TIMEOUT_S):
            self.measurements.records = await self.processes.request_hollow_processes(GetRecords(), Records)
        return await asyncio.to_thread(make_report, self.measurements, comparison)


async def sleep_until(at: float) -> None:
    """Sleep until a monotonic time in s; yield to the event loop once if it has already passed."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))


def first_error(errors: ExceptionGroup[ControlError]) -> ControlError:
    """Return the first error of a group; the other errors are its consequences."""
    first = errors.exceptions[0]
    return first_error(first) if isinstance(first, ExceptionGroup) else first


def entry_after(change: ServerChange) -> Entry:
    """Return the server's entry in the endpoint list after a change."""
    return Entry(change.server.name, change.server.address, change.server.zone, change.lifecycle, change.started_at_ms)


async def run_scale(arguments: Arguments, progress: Progress = lambda _text: None) -> Report:
    """Execute one run in a temporary folder and return its report.

    Args:
        arguments: arguments of the run.
        progress: called with a short description of each step.

    Raises:
        ScaleError: the machine cannot provide the resources that the run needs.
        ControlError: a process of the run failed.
        TimeoutError: the run did not end in time.
    """
    with tempfile.TemporaryDirectory(prefix="stackwheel-scale-") as folder:
        return await Run(arguments, Path(folder), progress).run()
