"""Forwarders, collectors and clients as scripted peers: requests flow, have effects and are counted."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from stackwheel.forwarder.state import ForwarderState, choose
from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdateReader, InvalidUpdateError
from stackwheel.interface import Retry
from stackwheel.rules.violations import Rule
from stackwheel.trials.loop import Machine
from stackwheel.trials.network import Transport
from stackwheel.trials.servers import Outcome, Proof

if TYPE_CHECKING:
    from stackwheel.trials.world import World

REDIAL = (0.1, 2.4)  # s after a break is noticed
SILENT = 3.0  # s without PONG until a dial counts as failed
KEEP_OFF = 5.0  # s that a server which failed too often in a row is kept off
ATTEMPTS_KEPT = 4096  # requests under way at one proxy; more are turned away
LOAD_LINES_MOST = 300  # lines of reports in one cycle, the oldest first


class Lines:
    """A protocol that cuts what it hears into lines."""

    def __init__(self) -> None:
        self.transport: Transport | None = None
        self.held = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.opened()

    def data_received(self, data: bytes) -> None:
        *lines, self.held = (self.held + data).split(b"\r\n")
        for line in lines:
            self.line(line.decode())

    def eof_received(self) -> bool | None:
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended(exc)

    def pause_writing(self) -> None:
        pass

    def resume_writing(self) -> None:
        pass

    def say(self, *lines: str) -> None:
        if self.transport is not None and not self.transport.closing:
            self.transport.write("".join(line + "\r\n" for line in lines).encode())

    def opened(self) -> None:
        pass

    def line(self, line: str) -> None:
        pass

    def ended(self, exc: Exception | None) -> None:
        pass


class Stream(Lines):
    """A proxy's stream to one planner."""

    def __init__(self, proxy: Proxy, planner: int) -> None:
        super().__init__()
        self.proxy, self.planner = proxy, planner
        self.reader = ConfigUpdateReader()
        self.taken = b""  # of a line that the planner has taken in part
        self.counted = False  # joined, as the rules see it
        self.broken = False  # by the network or its own proxy: it counts as left
        self.break_next = False  # in the middle of the next message

    def opened(self) -> None:
        self.proxy.stream_up(self)

    def line(self, line: str) -> None:
        if line in ("PONG", "NACK"):
            return
        if self.break_next and (" continued=1" in line or not self.reader.parts):
            self.break_next = False
            self.proxy.break_stream(self)
            return
        try:
            order = self.reader.take(line)
        except InvalidUpdateError as error:
            self.proxy.refuse(self, str(error))
            return
        if order is not None:
            self.proxy.world.channel_takes(self, order)

    def ended(self, exc: Exception | None) -> None:
        self.proxy.stream_ended(self)


@dataclass(slots=True, eq=False)
class Request:
    """What a client asks; its repeats by the client are requests of their own."""

    number: int
    place: int
    came: float
    until: float
    tries_left: int  # the client's
    tried: tuple[str, ...] = ()
    further: int = 0  # tries after the first, by the proxy


class Proxy:
    """A forwarder: follows its tables, keeps them without a planner, and judges no server by itself."""

    def __init__(self, world: World, number: int, zone: int, machine: Machine) -> None:
        self.world, self.number, self.zone, self.machine = world, number, zone, machine
        self.mind = Machine(machine.name)  # what thinks: it may stand still while the kernel still takes bytes
        self.chance = random.Random(f"proxy {number} {world.script.seed}")
        shape = world.shape
        self.routes = tuple(c.name for c in shape.classes)
        self.holdings = ForwarderState(self.routes, world.ever_listed)
        self.stream: Stream | None = None
        self.dialling: Stream | None = None
        self.fresh = True
        self.factor = 1.0  # of its usual demand
        self.usual = 1.0  # requests a second
        self.next_planner = self.chance.randrange(shape.planners)
        self.under_way: dict[str, int] = {}
        self.strikes: dict[str, int] = {}
        self.kept_off: dict[str, float] = {}
        self.came = [0] * len(self.routes)  # since the last report
        self.unserved = [0] * len(self.routes)
        self.met: dict[str, list[float]] = {}  # server: tries, failures, time of the rest
        self.reported = world.loop.now

    # streams

    def dial(self) -> None:
        if not self.mind.alive or self.dialling is not None:
            return
        planner = self.next_planner
        self.next_planner = (planner + 1) % self.world.shape.planners
        self.dialling = stream = Stream(self, planner)
        self.world.network.dial(self.machine, self.world.planner_address(planner), stream)
        self.later(SILENT, self.dial_late, stream)

    def dial_late(self, stream: Stream) -> None:
        if self.dialling is stream:
            self.dialling = None
            self.redial()

    def stream_up(self, stream: Stream) -> None:
        if self.dialling is stream:
            self.dialling = None
        elif stream.transport is not None:  # given up meanwhile
            stream.broken = True
            stream.transport.abort()
            return
        old, self.stream = self.stream, stream
        if old is not None and old.transport is not None:
            old.broken = True
            old.transport.abort()
        stream.say(
            f"SUBSCRIBE id={self.number} site={self.world.zones[self.zone]} rps={self.rate():.1f} new={int(self.fresh)}"
        )

    def rate(self) -> float:
        return self.usual * self.factor

    def stream_ended(self, stream: Stream) -> None:
        if self.dialling is stream:
            self.dialling = None
            self.redial()
        elif self.stream is stream:
            self.stream = None
            if stream.broken:
                self.world.counts_left(self, stream)
            self.redial()

    def break_stream(self, stream: Stream) -> None:
        """By the network, or by itself: at once it counts as left."""
        stream.broken = True
        self.world.counts_left(self, stream)
        if stream.transport is not None:
            stream.transport.reset()

    def go_quiet(self, notice: float) -> None:
        """The stream is half open from now on; both ends are told nothing."""
        stream = self.stream
        if stream is None or stream.transport is None:
            return
        stream.broken = True
        stream.transport.swallow = stream.transport.far.swallow = True
        self.world.counts_left(self, stream)
        self.later(notice, self.notice_quiet, stream)

    def notice_quiet(self, stream: Stream) -> None:
        """It finds the stream dead by itself, and looks for another planner."""
        if self.stream is stream and stream.transport is not None:
            self.stream = None
            stream.transport.drop()
            self.redial()

    def notice_cut(self, stream: Stream) -> None:
        """It hears nothing; one that still hears its planner notices nothing."""
        here, there = self.machine, self.world.hosts[stream.planner].machine
        network = self.world.network
        if self.stream is stream and network.is_cut(there, here) and network.is_cut(here, there):
            stream.broken = True
            self.notice_quiet(stream)

    def second_stream(self, late: float) -> None:
        """Open a new stream while what was said on the old one is still on its way."""
        old = self.stream
        if old is None or old.transport is None:
            return
        old.transport.far.last = max(old.transport.far.last, self.world.loop.now + late)
        old.say(*self.usage())
        self.next_planner = old.planner if self.chance.random() < 0.7 else self.next_planner
        self.dial()

    def redial(self) -> None:
        self.later(self.chance.uniform(*REDIAL), self.dial_if_alone)

    def dial_if_alone(self) -> None:
        if self.stream is None:
            self.dial()

    def refuse(self, stream: Stream, why: str) -> None:
        """An order that can't be used: the stream is reset, and the planner is to blame."""
        self.world.checker.break_rule(self.world.ms(), Rule.USABLE, why, stream.planner, self.number)
        if stream.transport is not None:
            stream.transport.abort()
        self.stream_ended(stream)

    def start_over(self) -> None:
        """A new life of the process: only its standing table."""
        self.stream = self.dialling = None
        self.fresh = True
        self.holdings = ForwarderState(self.routes, self.world.ever_listed)
        self.holdings.install_standing_table(self.world.standing_table(self.zone, self.chance))
        self.under_way, self.strikes, self.kept_off, self.met = {}, {}, {}, {}
        self.came, self.unserved = [0] * len(self.routes), [0] * len(self.routes)
        self.tell_lines()
        if self.world.exchange is not None:
            self.world.exchange.start(self)
            return
        self.later(self.chance.uniform(0.0, 0.3), self.dial_if_alone)
        self.later(self.chance.uniform(0.3, 1.0) * self.world.shape.cycle / 1000.0, self.report, self.mind)

    def later(self, delay: float, call: Callable[..., object], *args: object) -> None:
        self.world.loop.at(self.world.loop.now + delay, self.mind, call, *args)

    # orders

    def apply(self, stream: Stream, order: ConfigUpdate, entered: float) -> None:
        """A message has come out of the channel: it counts whole, or not at all."""
        if self.stream is not stream or stream.transport is None or stream.transport.closing:
            return
        try:
            self.holdings.apply(order)
        except InvalidUpdateError as error:
            self.refuse(stream, str(error))
            return
        self.fresh = False
        self.world.checker.note(
            self.world.ms(), f"applied {order.cost()} lines", f"proxy-{self.number}", f"planner-{stream.planner}"
        )
        self.tell_lines()
        took = (self.world.loop.now - entered) * 1000.0
        for mark in order.nonces():
            stream.say(f"ACK id={self.number} seq={mark} ms={took:.1f}")

    def tell_lines(self) -> None:
        now = self.world.ms()
        for place, name in enumerate(self.routes):
            self.world.checker.lines_changed(self.number, place, not self.holdings.has_no_servers(name), now)

    # reports

    def usage(self) -> list[str]:
        over = max(1.0, (self.world.loop.now - self.reported) * 1000.0)
        lines = [
            f"RATE id={self.number} lane={name} count={count} fail={fail} over={over:.1f}"
            for name, count, fail in zip(self.routes, self.came, self.unserved, strict=True)
            if count
        ]
        self.reported = self.world.loop.now
        self.came, self.unserved = [0] * len(self.routes), [0] * len(self.routes)
        return lines

    def report(self, machine: Machine) -> None:
        if machine is not self.mind:
            return
        if self.stream is not None:
            self.world.send_report(self.machine, self.stream, self.usage())
        self.later(self.world.shape.cycle / 1000.0, self.report, machine)

    # requests

    def take(self, request: Request) -> None:
        """A request arrives."""
        world, place = self.world, request.place
        self.came[place] += 1
        if world.loop.now >= request.until:
            world.finish(request, self, False, world.loop.now)  # its client has left
            return
        rate = self.rate() * world.shape.classes[place].share
        if not self.holdings.admits(self.routes[place], world.shape.admission, self.chance, rate):
            world.finish(request, self, False, world.loop.now)  # given up, and answered at once
            return
        self.attempt(request)

    def attempt(self, request: Request) -> None:
        world, place, now = self.world, request.place, self.world.loop.now
        held = self.holdings.class_tables[self.routes[place]]
        avoid = self.avoided(now) if self.kept_off else ()
        name = choose(held, world.shape.pick, self.chance, self.under_way, avoid, request.tried)
        if name is None or sum(self.under_way.values()) >= ATTEMPTS_KEPT:
            self.unserved[place] += 1
            world.finish(request, self, False, now)
            return
        self.under_way[name] = self.under_way.get(name, 0) + 1
        world.checker.attempt_sent(self.number, name, now * 1000.0)
        retry = self.holdings.retry_mode(self.routes[place], Retry(world.shape.usual_retry))
        until = request.until
        if retry >= Retry.ONCE and request.further < retry - Retry.ONCE_IF_NOT_EXECUTED:
            until = min(until, now + 0.8 * world.shape.classes[place].aim / 1000.0)
        outcome = world.try_server(request, self, name, until)
        world.loop.at(outcome.at, self.mind, self.end_try, request, name, now, outcome, retry, self.mind)

    def avoided(self, now: float) -> tuple[str, ...]:
        self.kept_off = {name: until for name, until in self.kept_off.items() if until > now}
        return tuple(self.kept_off)

    def end_try(
        self, request: Request, name: str, began: float, outcome: Outcome, retry: Retry, machine: Machine
    ) -> None:
        if machine is not self.mind:
            return
        world, now = self.world, self.world.loop.now
        left = self.under_way[name] - 1
        if left:
            self.under_way[name] = left
        else:
            del self.under_way[name]
        met = self.met.setdefault(name, [0.0, 0.0, 0.0])
        met[0] += 1
        met[1] += not outcome.ok
        met[2] += outcome.ok * (now - began) * 1000.0
        if outcome.ok:
            self.strikes.pop(name, None)
            world.finish(request, self, now <= request.until, outcome.at)
            return
        if world.shape.strikes:
            self.strikes[name] = self.strikes.get(name, 0) + 1
            if self.strikes[name] >= world.shape.strikes:
                del self.strikes[name]
                self.kept_off[name] = now + KEEP_OFF
        if self.may_follow(request, outcome, retry) and now < request.until:
            request.tried = (*request.tried, name)
            request.further += 1
            self.attempt(request)
        else:
            world.finish(request, self, False, outcome.at)

    @staticmethod
    def may_follow(request: Request, outcome: Outcome, retry: Retry) -> bool:
        """Whether the orders let it try elsewhere, by how far the last try had come."""
        if retry is Retry.NEVER:
            return False
        if retry is Retry.ONCE_IF_NOT_EXECUTED:
            return outcome.proof is Proof.NOT_SENT and request.further < 1
        return request.further < (1 if retry is Retry.ONCE else 2)


class Collector(Lines):
    """Passes on what the proxies of a zone that one planner has met at servers."""

    def __init__(self, world: World, zone: int, planner: int, machine: Machine) -> None:
        super().__init__()
        self.world, self.zone, self.planner, self.machine = world, zone, planner, machine
        self.waiting: deque[str] = deque(maxlen=20 * LOAD_LINES_MOST)
        self.up = False

    def opened(self) -> None:
        self.up = True
        self.held = b""
        self.say(f"SOURCE site={self.world.zones[self.zone]}")

    def ended(self, exc: Exception | None) -> None:
        self.up, self.transport = False, None
        self.world.loop.at(self.world.loop.now + 0.5 + self.world.chance.random(), self.machine, self.dial)

    def dial(self) -> None:
        self.world.network.dial(self.machine, self.world.planner_address(self.planner), self)

    def report(self) -> None:
        """Each cycle: sums of what the planner's proxies here met, at most so many lines, the oldest first."""
        sums: dict[str, list[float]] = {}
        for proxy in self.world.proxies:
            if proxy.zone == self.zone and proxy.met and self.of_planner(proxy):
                for name, met in proxy.met.items():
                    total = sums.setdefault(name, [0.0, 0.0, 0.0])
                    for place, value in enumerate(met):
                        total[place] += value
                proxy.met = {}
        zone, over = self.world.zones[self.zone], self.world.shape.cycle
        for name, (tries, fails, took) in sums.items():
            mean = took / max(1.0, tries - fails)
            self.waiting.append(
                f"LOAD site={zone} target={name} count={int(tries)} fail={int(fails)} "
                f"mean={mean:.1f} over={over:.1f}{self.world.load_report(name)}"
            )
        lines = [self.waiting.popleft() for _ in range(min(len(self.waiting), LOAD_LINES_MOST))]
        if lines:
            self.world.send_report(self.machine, self, lines)
        self.world.loop.at(self.world.loop.now + over / 1000.0, self.machine, self.report)

    def of_planner(self, proxy: Proxy) -> bool:
        return proxy.stream is not None and proxy.stream.planner == self.planner
