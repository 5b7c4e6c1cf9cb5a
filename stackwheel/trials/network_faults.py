"""Effects of network faults: cuts, reset and second streams, slow paths, lost datagrams, unidentified clients."""

from __future__ import annotations

from stackwheel.trials import faults
from stackwheel.trials.fault_targets import planners_of, proxies_of
from stackwheel.trials.line_protocol import LineProtocol
from stackwheel.trials.network import Conditions
from stackwheel.trials.shape import machine_names
from stackwheel.trials.world import World

PAYLOADS = {
    "nothing": b"",
    "half": b"SUBSCRIBE id=0 si",
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "noise": bytes(range(128, 256)) * 40,
    "ping": b"PING\r\n",
    "false_join": b"SUBSCRIBE id=99999 site=z0 rps=1 new=1\r\n",
}


def cut(fault: faults.Cut, world: World) -> None:
    """Cut the network paths between two groups of machines for the span of the fault."""
    sources = machine_names(fault.source, world.shape)
    targets = machine_names(fault.target, world.shape)
    paths = [(source, target) for source in sources for target in targets if source != target]
    if not fault.unidirectional:
        paths += [(target, source) for source, target in paths]
    paths = list(dict.fromkeys(paths))
    for source, target in paths:
        world.network.cut(source, target)
    world.count_cut_streams_as_left()
    world.context.schedule_after(fault.span, heal, world, paths)


def heal(world: World, paths: list[tuple[str, str]]) -> None:
    """Remove cuts; the messages that they blocked enter the update channels at once."""
    for source, target in paths:
        world.network.heal(source, target)
    reconnected = {name for path in paths for name in path}
    for planner in world.planners:
        if planner.machine.name not in reconnected:
            continue
        world.channels.allow_burst(planner.number)
        if "discovery" in reconnected:
            world.notifications.mark_reachable(planner.number)


def reset_streams(fault: faults.Reset, world: World) -> None:
    """Reset the streams of proxies."""
    for proxy in proxies_of(world, fault.proxies):
        if proxy.stream is not None:
            proxy.break_stream(proxy.stream)


def make_half_open(fault: faults.HalfOpen, world: World) -> None:
    """Make the streams of proxies half open."""
    for proxy in proxies_of(world, fault.proxies):
        proxy.make_half_open(fault.noticed_after)


def open_second_streams(fault: faults.SecondStream, world: World) -> None:
    """Let proxies open a second stream."""
    for proxy in proxies_of(world, fault.proxies):
        proxy.open_second_stream(fault.delay)


def reset_in_next_message(fault: faults.MidMessage, world: World) -> None:
    """Let proxies reset their streams in the middle of the next message."""
    for proxy in proxies_of(world, fault.proxies):
        if proxy.stream is not None:
            proxy.stream.reset_in_next_message = True


def disturb_datagrams(fault: faults.Datagrams, world: World) -> None:
    """Lose, duplicate and reorder datagrams for the span of the fault."""
    change_conditions(world, fault.span, lost=fault.lost, duplicated=fault.duplicated, reordered=fault.reordered)


def change_path_conditions(fault: faults.PathConditions, world: World) -> None:
    """Change the latency, the fragmentation of writes and the transit time of updates for the span of the fault."""
    change_conditions(world, fault.span, latency_factor=fault.latency_factor, fragmented=fault.fragmented)
    world.context.transit_factor = fault.transit_factor
    world.context.schedule_after(fault.span, setattr, world.context, "transit_factor", 1.0)


def change_conditions(world: World, span: float, **values: float) -> None:
    """Change conditions of the network, and restore their defaults after `span` s."""
    defaults = Conditions()
    for name, value in values.items():
        setattr(world.network.conditions, name, value)
        world.context.schedule_after(span, setattr, world.network.conditions, name, getattr(defaults, name))


class UnidentifiedClient(LineProtocol):
    """A client that sends a fixed payload once it is connected, and ignores all answers."""

    def __init__(self, data: bytes) -> None:
        super().__init__()
        self.data = data

    def opened(self) -> None:
        """Send the payload."""
        assert self.transport is not None
        if self.data:
            self.transport.write(self.data)


def connect_unidentified_clients(fault: faults.UnidentifiedClients, world: World) -> None:
    """Connect clients that send an invalid payload, or nothing, to a planner."""
    address = planners_of(world, (fault.planner,))[0].address
    for _ in range(fault.count):
        client = UnidentifiedClient(PAYLOADS[fault.payload])
        world.network.dial(world.client_machine, address, client)
