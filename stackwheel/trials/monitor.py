"""Observes a run: feeds the digest and the checker with what the network shows, and looks into planners."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stackwheel.rules.invariants import exceeded_bounds, level_mismatch, line_mismatch
from stackwheel.rules.violations import Rule
from stackwheel.trials.channel import UpdateChannels
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.discovery import DiscoveryCall
from stackwheel.trials.planners import BelievedState, PlannerHost
from stackwheel.trials.proxies import PlannerStream, Proxy
from stackwheel.trials.relays import RelayGroup
from stackwheel.trials.transport import Transport

BOUNDS_INTERVAL_S = 5.0  # between looks at what planners keep
MAX_LOGGED_CHARACTERS = 300  # of a logged error in a verdict
PORT_MASK = 0xFFFF  # of a local port in the digest


class Monitor:
    """The simulation's observer."""

    def __init__(
        self,
        context: SimulationContext,
        channels: UpdateChannels,
        planners: Sequence[PlannerHost],
        relays: RelayGroup | None,
    ) -> None:
        self.context = context
        self.channels = channels
        self.planners = planners
        self.relays = relays
        self.checked_at = -1.0

    # What the network shows.

    def bytes_received(self, end: Transport, data: bytes) -> None:
        """Bytes have been taken by one end of a connection."""
        context = self.context
        context.digest.add(context.loop.now, end.local[1] & PORT_MASK, data)
        if self.relays is not None:
            self.relays.bytes_received(end, data)
        planner = context.planner_of(end.machine)
        if planner is None:
            return
        sender = end.peer.protocol
        if isinstance(sender, PlannerStream):
            self.planner_received(self.planners[planner], sender, data)
        elif isinstance(sender, DiscoveryCall):
            sender.received(len(data))

    def bytes_written(self, end: Transport, data: bytes) -> None:
        """Bytes have been written at one end of a connection."""
        if self.relays is not None:
            self.relays.bytes_written(end, data)
        planner = self.context.planner_of(end.machine)
        receiver = end.peer.protocol
        if planner is not None and data.startswith(b"CONFIG") and isinstance(receiver, PlannerStream):
            self.context.checker.message_written(planner, receiver.proxy.number, self.context.now_ms())

    def planner_received(self, planner: PlannerHost, stream: PlannerStream, data: bytes) -> None:
        """A planner has taken bytes of a proxy: the proxy counts as joined; at an acknowledgement both are compared."""
        proxy = stream.proxy
        if not stream.counts_as_joined and self.may_count_as_joined(planner, stream):
            stream.counts_as_joined = True
            self.context.checker.proxy_joined(proxy.number, planner.number, self.context.now_ms())
        *lines, stream.partial_received = (stream.partial_received + data).split(b"\r\n")
        for line in lines:
            if line.startswith(b"ACK ") and self.is_all_applied(planner, stream, nonce_of(line)):
                self.compare(planner, proxy)

    def may_count_as_joined(self, planner: PlannerHost, stream: PlannerStream) -> bool:
        """Whether a stream is its proxy's present one and in order."""
        return (
            not stream.broken
            and stream.proxy.stream is stream
            and not self.context.network.is_cut_between(stream.proxy.machine, planner.machine)
        )

    def is_all_applied(self, planner: PlannerHost, stream: PlannerStream, nonce: int) -> bool:
        """Whether an acknowledgement answers all that its planner has sent."""
        return (
            stream.proxy.stream is stream
            and planner.service is not None
            and planner.last_pending_nonce(stream.proxy.number) == nonce
            and self.is_quiet(planner, stream)
        )

    def is_quiet(self, planner: PlannerHost, stream: PlannerStream) -> bool:
        """Whether nothing more is on its way to a proxy, with a nonce or without."""
        number = stream.proxy.number
        return (
            stream.transport is not None
            and stream.transport.unread_bytes == 0
            and self.channels.last_arrival(planner.number, number) <= self.context.loop.now
            and not planner.unsent_bytes(number)
        )

    def compare(self, planner: PlannerHost, proxy: Proxy) -> None:
        """All that a planner sent has been applied: both hold the same."""
        self.context.count("agreements")
        believed = planner.believed_state(proxy.number)
        if believed is None:
            return
        for reason in find_disagreements(believed, proxy):
            self.context.checker.report_violation(
                self.context.now_ms(), Rule.AGREES, reason, planner.number, proxy.number
            )

    # What planners keep and log.

    def check_bounds(self) -> None:
        """Look again and again whether planners keep more for others than they may."""
        checker = self.context.checker
        for planner in self.planners:
            if planner.running and not planner.machine.stalled and checker.planners.get(planner.number) is not None:
                for reason in exceeded_bounds(planner.bounded_sizes()):
                    checker.report_violation(self.context.now_ms(), Rule.BOUNDED, reason, planner.number)
        self.context.schedule_after(BOUNDS_INTERVAL_S, self.check_bounds)

    def error_logged(self, message: Any) -> None:
        """Something was logged as an error: no task may die, no batch fail."""
        record = message.record
        error = f": {record['exception'].value!r}" if record["exception"] else ""
        machine = self.context.loop.machine
        planner = self.context.planner_of(machine) if machine is not None else None
        detail = record["message"][:MAX_LOGGED_CHARACTERS] + error
        self.context.checker.report_violation(self.context.now_ms(), Rule.UPRIGHT, detail, planner)

    def after_callback(self, now: float) -> None:
        """Time may have moved: limits that ran out are looked at."""
        if now > self.checked_at:
            self.checked_at = now
            if self.context.checker.deadlines:
                self.context.checker.check_deadlines(now * 1000.0)


def find_disagreements(believed: BelievedState, proxy: Proxy) -> list[str]:
    """In what a proxy's state differs from what its planner believes."""
    reasons = []
    for class_index, wanted in believed.lines.items():
        table = proxy.state.class_tables[proxy.class_names[class_index]]
        reason = line_mismatch(table.lines, wanted)
        reason = reason or level_mismatch(table.level, believed.levels[class_index])
        if reason is not None:
            reasons.append(f"class {class_index}: {reason}")
    for server, is_ejected in believed.ejected.items():
        if (server in proxy.state.ejected) != is_ejected:
            reasons.append(f"{server} ejected: {not is_ejected}, believed {is_ejected}")
    return reasons


def nonce_of(line: bytes) -> int:
    """The nonce that an acknowledgement answers; -1 without one."""
    text = line.partition(b" seq=")[2].partition(b" ")[0]
    return int(text) if text.isdigit() else -1
