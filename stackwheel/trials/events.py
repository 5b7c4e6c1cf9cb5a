"""What a script's faults do to the world: one function a kind."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from stackwheel.interface import Availability
from stackwheel.rules.violations import RELOAD_GRACE
from stackwheel.trials import script as s
from stackwheel.trials.exchange import PushTrouble
from stackwheel.trials.loop import Machine
from stackwheel.trials.proxies import Lines, Proxy
from stackwheel.trials.servers import Server

if TYPE_CHECKING:
    from stackwheel.trials.relays import RelayHost
    from stackwheel.trials.world import World

NOISE = {
    "nothing": b"",
    "half": b"SUBSCRIBE id=0 si",
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "noise": bytes(range(128, 256)) * 40,
    "ping": b"PING\r\n",
    "false_join": b"SUBSCRIBE id=99999 site=z0 rps=1 new=1\r\n",
}


@singledispatch
def happen(fault: object, world: World) -> None:
    raise NotImplementedError(type(fault).__name__)


def begin(world: World, fault: Any) -> None:
    """Let a fault of a script happen."""
    world.checker.note(world.ms(), f"fault {type(fault).__name__.lower()}")
    if world.trace is not None:
        world.trace(f"{world.loop.now:9.3f} fault: {s.words(s.Script(faults=(fault,)))[1].strip()}")
    happen(fault, world)


def soon(world: World, delay: float, call: Callable[..., object], *args: object) -> None:
    world.loop.at(world.loop.now + delay, None, call, *args)


def servers_of(world: World, names: s.Names) -> list[Server]:
    return [world.present(number) for number in s.members(names, world.shape, "server")]


def proxies_of(world: World, names: s.Names) -> list[Proxy]:
    return [world.proxies[n] for n in s.members(names, world.shape, "proxy")]


@happen.register(s.Kill)
def _(fault: s.Kill, world: World) -> None:
    for number in s.members(fault.planners, world.shape, "planner"):
        kill_planner(world, number, fault.back, fault.sign)
    for relay in relays_of(world, fault.planners):
        if relay.running:
            relay.kill(fault.sign)
            soon(world, max(0.01, fault.back), relay.start)


def relays_of(world: World, names: s.Names) -> list[RelayHost]:
    if world.relays is None:
        return []
    return [world.relays.hosts[n] for n in s.members(names, world.shape, "relay")]


def kill_planner(world: World, number: int, back: float, sign: bool = True) -> None:
    host = world.hosts[number]
    if not host.machine.alive:
        return
    host.kill(sign)
    if not sign:
        for proxy in world.proxies:
            if proxy.stream is not None and proxy.stream.planner == number:
                proxy.later(proxy.chance.uniform(0.2, 2.7), proxy.notice_quiet, proxy.stream)
    soon(world, max(0.01, back), host.start)


@happen.register(s.Stall)
def _(fault: s.Stall, world: World) -> None:
    for turn in range(fault.times):
        soon(world, turn * max(fault.every, fault.span + 0.1), stall, world, fault)


BURST = 2.0  # s after a cut or a deaf reader within which what was held back comes in
STALL_ALLOWED = 1.0  # s that a process may stand still within the limits


def stall(world: World, fault: s.Stall) -> None:
    who, span = fault.who, fault.span
    until = world.ms() + span * 1000.0
    for number in s.members(who, world.shape, "planner"):
        host = world.hosts[number]
        if host.machine.alive and not host.machine.still:
            world.loop.stand_still(host.machine, True)
            if span > STALL_ALLOWED:
                world.checker.suspend_limits(number, until)
            soon(world, span, world.loop.stand_still, host.machine, False)
    for proxy in proxies_of(world, who):
        if proxy.mind.alive and not proxy.mind.still:
            world.loop.stand_still(proxy.mind, True)
            world.loop.stand_still(proxy.machine, fault.deaf)
            world.checker.suspend_proxy_limits(proxy.number, until)
            soon(world, span, wake_proxy, world, proxy, proxy.machine, proxy.mind)
    for relay in relays_of(world, who):
        if relay.running and not relay.machine.still:
            world.loop.stand_still(relay.machine, True)
            soon(world, span, world.loop.stand_still, relay.machine, False)


def wake_proxy(world: World, proxy: Proxy, machine: Machine, mind: Machine) -> None:
    if machine.still and proxy.stream is not None:
        burst(world, proxy.stream.planner)
    world.loop.stand_still(machine, False)
    world.loop.stand_still(mind, False)


def burst(world: World, planner: int) -> None:
    world.burst_until[planner] = world.loop.now + BURST


@happen.register(s.Cut)
def _(fault: s.Cut, world: World) -> None:
    sources, targets = s.machines(fault.source, world.shape), s.machines(fault.target, world.shape)
    pairs = [(a, b) for a in sources for b in targets if a != b]
    if not fault.one_way:
        pairs += [(b, a) for a, b in pairs]
    pairs = list(dict.fromkeys(pairs))
    for a, b in pairs:
        world.network.cut(a, b)
    world.streams_cut()
    soon(world, fault.span, heal, world, pairs)


def heal(world: World, pairs: list[tuple[str, str]]) -> None:
    for a, b in pairs:
        world.network.heal(a, b)
    touched = {name for pair in pairs for name in pair}
    for host in world.hosts:
        if host.machine.name in touched:
            burst(world, host.number)
        if "discovery" in touched and host.machine.name in touched:
            world.reachable_since[host.number] = world.loop.now


@happen.register(s.Reset)
def _(fault: s.Reset, world: World) -> None:
    for proxy in proxies_of(world, fault.proxies):
        if proxy.stream is not None:
            proxy.break_stream(proxy.stream)


@happen.register(s.HalfOpen)
def _(fault: s.HalfOpen, world: World) -> None:
    for proxy in proxies_of(world, fault.proxies):
        proxy.go_quiet(fault.notice)


@happen.register(s.Doubled)
def _(fault: s.Doubled, world: World) -> None:
    for proxy in proxies_of(world, fault.proxies):
        proxy.second_stream(fault.late)


@happen.register(s.MidMessage)
def _(fault: s.MidMessage, world: World) -> None:
    for proxy in proxies_of(world, fault.proxies):
        if proxy.stream is not None:
            proxy.stream.break_next = True


@happen.register(s.Restart)
def _(fault: s.Restart, world: World) -> None:
    for proxy in proxies_of(world, fault.proxies):
        restart_proxy(world, proxy, fault.back)


def restart_proxy(world: World, proxy: Proxy, back: float) -> None:
    if not proxy.machine.alive:
        return
    proxy.stream = proxy.dialling = None
    world.checker.proxy_left(proxy.number, world.ms())
    world.network.kill(proxy.machine)
    world.loop.kill(proxy.mind)
    soon(world, max(0.01, back), world.proxy_back, proxy)


@happen.register(s.Die)
def _(fault: s.Die, world: World) -> None:
    for server in servers_of(world, fault.servers):
        die(world, server, fault.back)


def die(world: World, server: Server, back: float) -> None:
    server.stop()
    server.state = Availability.REMOVED
    world.list_soon(server)
    if back:
        soon(world, back, come_back, world, server, server.life)


def come_back(world: World, server: Server, life: int) -> None:
    if server.life == life and world.present(server.slot) is server:
        world.start_server(server)


@happen.register(s.Drain)
def _(fault: s.Drain, world: World) -> None:
    for server in servers_of(world, fault.servers):
        drain(world, server, fault.gone, fault.back)


def drain(world: World, server: Server, gone: float, back: float) -> None:
    if not server.alive:
        return
    server.state = Availability.DRAINING
    world.list_soon(server)
    soon(world, gone, gone_now, world, server, server.life, back)


def gone_now(world: World, server: Server, life: int, back: float) -> None:
    if server.alive and server.life == life:
        die(world, server, back)


@happen.register(s.Replace)
def _(fault: s.Replace, world: World) -> None:
    servers = servers_of(world, fault.servers)
    for place, server in enumerate(servers):
        soon(world, place * fault.span / max(1, len(servers)), replace, world, server.slot)


def replace(world: World, slot: int) -> None:
    old = world.present(slot)
    drain(world, old, 3.0, 0.0)
    world.new_server(old)


@happen.register(s.Fail)
def _(fault: s.Fail, world: World) -> None:
    for server in servers_of(world, fault.servers):
        server.failing = fault.share
        soon(world, fault.span, setattr, server, "failing", 0.0)


@happen.register(s.Slow)
def _(fault: s.Slow, world: World) -> None:
    for server in servers_of(world, fault.servers):
        server.taken = min(0.95, fault.share)
        soon(world, fault.span, setattr, server, "taken", 0.0)


@happen.register(s.LoseZone)
def _(fault: s.LoseZone, world: World) -> None:
    zone = (f"zone-{fault.zone}",)
    for server in servers_of(world, zone):
        die(world, server, fault.back)
    for proxy in proxies_of(world, zone) if fault.proxies else ():
        restart_proxy(world, proxy, fault.back)
    for number in s.members(zone, world.shape, "planner") if fault.planners else ():
        kill_planner(world, number, fault.back)


@happen.register(s.Discovery)
def _(fault: s.Discovery, world: World) -> None:
    world.discovery.set_trouble(fault.how, fault.late)
    soon(world, fault.span, end_trouble, world, fault.how)


def end_trouble(world: World, how: str) -> None:
    if world.discovery.trouble == how:
        world.discovery.set_trouble("", 0.0)
        for host in world.hosts:
            world.reachable_since[host.number] = world.loop.now


@happen.register(s.Lag)
def _(fault: s.Lag, world: World) -> None:
    late = world.discovery.late_for
    for relay in relays_of(world, fault.who):
        late[relay.machine.name] = fault.late
        soon(world, fault.span, late.pop, relay.machine.name, None)


@happen.register(s.Unreadable)
def _(fault: s.Unreadable, world: World) -> None:
    names = [server.name for server in servers_of(world, fault.servers)]
    world.discovery.unreadable.update(dict.fromkeys(names))
    if world.relays is not None:
        world.relays.views.forget(names)
    soon(world, fault.span, readable, world, names)


def readable(world: World, names: list[str]) -> None:
    for name in names:
        world.discovery.unreadable.pop(name, None)
    told = world.discovery.tell_again(names)
    if world.relays is not None:
        world.relays.changed(told)


@happen.register(s.Older)
def _(fault: s.Older, world: World) -> None:
    if world.relays is None:
        world.discovery.tell_older(fault.after)
    else:
        world.discovery.tell_older(fault.after, world.relays.concerns)


@happen.register(s.Reload)
def _(fault: s.Reload, world: World) -> None:
    if world.relays is not None:
        world.relays.move()
    else:
        host, port = world.discovery.address
        world.discovery.move((host, port + 1), fault.close)
    for number in s.members(fault.planners, world.shape, "planner"):
        planner = world.hosts[number]
        if planner.running:
            world.checker.suspend_limits(number, world.ms() + RELOAD_GRACE)
            world.reachable_since[number] = world.loop.now + RELOAD_GRACE / 1000.0
            planner.reload()


@happen.register(s.Renumber)
def _(fault: s.Renumber, world: World) -> None:
    world.discovery.renumber(1 if world.relays is None else world.relays.next_numbering())
    for host in world.hosts:
        world.told_generation[host.number] = 0


@happen.register(s.Demand)
def _(fault: s.Demand, world: World) -> None:
    for proxy in proxies_of(world, fault.proxies):
        proxy.factor = fault.factor
        soon(world, fault.span, setattr, proxy, "factor", 1.0)
    world.cumulate()
    soon(world, fault.span, world.cumulate)


@happen.register(s.Reports)
def _(fault: s.Reports, world: World) -> None:
    world.report_late, world.report_spoilt = fault.late, fault.spoilt
    soon(world, fault.span, setattr, world, "report_late", 0.0)
    soon(world, fault.span, setattr, world, "report_spoilt", 0.0)
    for collector in world.collectors if fault.breaks else ():
        if collector.transport is not None:
            collector.transport.reset()


@happen.register(s.Datagrams)
def _(fault: s.Datagrams, world: World) -> None:
    change_way(world, fault.span, lost=fault.lost, doubled=fault.doubled, reordered=fault.reordered)


@happen.register(s.Way)
def _(fault: s.Way, world: World) -> None:
    change_way(world, fault.span, factor=fault.factor, pieces=fault.pieces)
    world.transit = fault.transit
    soon(world, fault.span, setattr, world, "transit", 1.0)


def change_way(world: World, span: float, **figures: float) -> None:
    usual = type(world.network.now)()
    for name, value in figures.items():
        setattr(world.network.now, name, value)
        soon(world, span, setattr, world.network.now, name, getattr(usual, name))


@happen.register(s.Pushes)
def _(fault: s.Pushes, world: World) -> None:
    if world.exchange is not None:
        world.exchange.set_trouble(
            PushTrouble(fault.late, fault.doubled, fault.torn, fault.old, fault.lost), fault.span
        )


@happen.register(s.Disks)
def _(fault: s.Disks, world: World) -> None:
    if world.exchange is None:
        return
    names = [f"planner-{n}" for n in s.members(fault.who, world.shape, "planner")]
    names += [f"proxy-{n}" for n in s.members(fault.who, world.shape, "proxy")]
    for name in names:
        disk = world.exchange.disks[name]
        if fault.how == "slow":
            disk.slow = fault.slow
            soon(world, fault.span, setattr, disk, "slow", 0.002)
        else:
            setattr(disk, fault.how, True)
            soon(world, fault.span, setattr, disk, fault.how, False)
    troubled = [int(n.partition("-")[2]) for n in names if n.startswith("planner")]
    for number in troubled:  # what can't be written is told to nobody
        world.checker.suspend_limits(number, world.ms() + fault.span * 1000.0 + 1000.0)
    for number in s.members(fault.who, world.shape, "proxy"):
        world.checker.suspend_proxy_limits(number, world.ms() + fault.span * 1000.0 + 1000.0)


class Stranger(Lines):
    def __init__(self, say: bytes) -> None:
        super().__init__()
        self.words = say

    def opened(self) -> None:
        assert self.transport is not None
        if self.words:
            self.transport.write(self.words)


@happen.register(s.Strangers)
def _(fault: s.Strangers, world: World) -> None:
    address = world.planner_address(s.members((fault.planner,), world.shape, "planner")[0])
    for _ in range(fault.count):
        world.network.dial(world.outside, address, Stranger(NOISE[fault.say]))
