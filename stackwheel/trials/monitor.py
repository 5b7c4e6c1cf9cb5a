"""Observer of a run: it adds network events to the digest and the checker, and inspects the state of planners."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stackwheel.rules.invariants import exceeded_bounds, level_mismatch, line_mismatch
from stackwheel.rules.violations import Rule
from stackwheel.trials.channel import UpdateChannels
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.discovery import DiscoveryCall
from stackwheel.trials.planners import AssumedProxyState, PlannerHost
from stackwheel.trials.proxies import PlannerStream, Proxy
from stackwheel.trials.relays import RelayGroup
from stackwheel.trials.transport import Transport

BOUNDS_CHECK_INTERVAL_S = 5.0
MAX_DETAIL_CHARACTERS = 300
PORT_MASK = 0xFFFF  # the digest contains 16 bits of a port


class Monitor:
    """The observer of a simulation.

    Attributes:
        checked_at: Virtual time of the last check of deadlines, in s.
    """

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

    # Network events.

    def bytes_received(self, end: Transport, data: bytes) -> None:
        """Process bytes that one end of a connection has received."""
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
        """Process bytes that were written at one end of a connection."""
        if self.relays is not None:
            self.relays.bytes_written(end, data)
        planner = self.context.planner_of(end.machine)
        receiver = end.peer.protocol
        if planner is not None and data.startswith(b"CONFIG") and isinstance(receiver, PlannerStream):
            self.context.checker.message_written(planner, receiver.proxy.number, self.context.now_ms())

    def planner_received(self, planner: PlannerHost, stream: PlannerStream, data: bytes) -> None:
        """Count a proxy as joined when its planner receives bytes; compare both states at an acknowledgement."""
        proxy = stream.proxy
        if not stream.counts_as_joined and self.can_count_as_joined(planner, stream):
            stream.counts_as_joined = True
            self.context.checker.proxy_joined(proxy.number, planner.number, self.context.now_ms())
        *lines, stream.partial_received = (stream.partial_received + data).split(b"\r\n")
        for line in lines:
            if line.startswith(b"ACK ") and self.acknowledges_all_updates(planner, stream, parse_nonce(line)):
                self.compare_states(planner, proxy)

    def can_count_as_joined(self, planner: PlannerHost, stream: PlannerStream) -> bool:
        """Return whether a stream is the current stream of its proxy and is not broken or cut."""
        return (
            not stream.broken
            and stream.proxy.stream is stream
            and not self.context.network.is_cut_between(stream.proxy.machine, planner.machine)
        )

    def acknowledges_all_updates(self, planner: PlannerHost, stream: PlannerStream, nonce: int) -> bool:
        """Return whether an acknowledgement confirms all updates that the planner has sent to the proxy."""
        return (
            stream.proxy.stream is stream
            and planner.service is not None
            and planner.last_pending_nonce(stream.proxy.number) == nonce
            and self.has_no_updates_in_transit(planner, stream)
        )

    def has_no_updates_in_transit(self, planner: PlannerHost, stream: PlannerStream) -> bool:
        """Return whether no updates are in transit to a proxy, including updates without a nonce."""
        number = stream.proxy.number
        return (
            stream.transport is not None
            and stream.transport.unread_bytes == 0
            and self.channels.last_arrival(planner.number, number) <= self.context.loop.now
            and not planner.unsent_bytes(number)
        )

    def compare_states(self, planner: PlannerHost, proxy: Proxy) -> None:
        """Record a violation for each difference between the state that a planner assumes and a proxy's actual state.

        The proxy must have applied all updates of the planner.
        """
        self.context.count("agreements")
        assumed = planner.assumed_state(proxy.number)
        if assumed is None:
            return
        for reason in find_disagreements(assumed, proxy):
            self.context.checker.report_violation(
                self.context.now_ms(), Rule.AGREES, reason, planner.number, proxy.number
            )

    # State and log of planners.

    def check_bounds(self) -> None:
        """Record a violation for each collection of a planner that is too large, and schedule the next check."""
        checker = self.context.checker
        for planner in self.planners:
            if planner.running and not planner.machine.stalled and checker.planners.get(planner.number) is not None:
                for reason in exceeded_bounds(planner.bounded_sizes()):
                    checker.report_violation(self.context.now_ms(), Rule.BOUNDED, reason, planner.number)
        self.context.schedule_after(BOUNDS_CHECK_INTERVAL_S, self.check_bounds)

    def error_logged(self, message: Any) -> None:
        """Record a violation for a logged error."""
        record = message.record
        error = f": {record['exception'].value!r}" if record["exception"] else ""
        machine = self.context.loop.machine
        planner = self.context.planner_of(machine) if machine is not None else None
        detail = record["message"][:MAX_DETAIL_CHARACTERS] + error
        self.context.checker.report_violation(self.context.now_ms(), Rule.UPRIGHT, detail, planner)

    def after_callback(self, now: float) -> None:
        """Check the deadlines of the checker if the virtual time has advanced."""
        if now > self.checked_at:
            self.checked_at = now
            if self.context.checker.deadlines:
                self.context.checker.check_deadlines(now * 1000.0)


def find_disagreements(assumed: AssumedProxyState, proxy: Proxy) -> list[str]:
    """Return the differences between the state of a proxy and the state that its planner assumes."""
    reasons = []
    for class_index, expected_lines in assumed.lines.items():
        table = proxy.state.class_tables[proxy.class_names[class_index]]
        reason = line_mismatch(table.lines, expected_lines)
        reason = reason or level_mismatch(table.level, assumed.levels[class_index])
        if reason is not None:
            reasons.append(f"class {class_index}: {reason}")
    for server, is_ejected in assumed.ejected.items():
        if (server in proxy.state.ejected) != is_ejected:
            reasons.append(f"{server} ejected: {not is_ejected}, assumed {is_ejected}")
    return reasons


def parse_nonce(line: bytes) -> int:
    """Return the nonce of an acknowledgement; -1 if it contains none."""
    text = line.partition(b" seq=")[2].partition(b" ")[0]
    return int(text) if text.isdigit() else -1
