"""All that the service speaks with: the listener, discovery, probes and the other planners."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from random import Random

from loguru import logger

from stackwheel import interface as face
from stackwheel.interface import Server, Settings
from stackwheel.settings import Names
from stackwheel.state.clock import Clock
from stackwheel.state.module import Asked, Item, Probed
from stackwheel.state.orders import Message
from stackwheel.state.roster import Roster
from stackwheel.state.streams import Line
from stackwheel.wire import timing
from stackwheel.wire.datagrams import Datagrams
from stackwheel.wire.discovery import Discovery, Move
from stackwheel.wire.http import socket_closed, split_address
from stackwheel.wire.lines import Encoder
from stackwheel.wire.peer import Peer, RateLimiter, Waiting
from stackwheel.wire.probes import probe, probe_call


@dataclass(frozen=True, slots=True)
class Addresses:
    listen: str
    discovery: str
    peer_listen: str
    peers: tuple[str, ...]
    peers_all: str
    sockets: int
    memory_mb: float


def stand_open(address: str) -> socket.socket:
    """A listener that never blocks; OSError if the address can't be had."""
    listener = socket.create_server(split_address(address), backlog=timing.LISTEN_BACKLOG)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, timing.RECEIVE_BUFFER)
    listener.setblocking(False)
    return listener


class Links:
    """The module's outside, on this protocol."""

    def __init__(
        self,
        addresses: Addresses,
        settings: Settings,
        names: Names,
        roster: Roster,
        clock: Clock,
        listen_at: Callable[[str], socket.socket] = stand_open,
        seed: int = 0,
    ) -> None:
        self.addresses, self.settings, self.names = addresses, settings, names
        self.roster, self.clock, self.listen_at = roster, clock, listen_at
        self.encoder = Encoder(names, roster.ids)
        self.discovery = Discovery(
            addresses.discovery,
            roster.generation,
            not settings.list_on_request,
            lambda item: self.post(item),
            Random(seed),
            settings.ask_within,
            timing.renewal(settings.planners),
        )
        self.datagrams = Datagrams(addresses.peers, addresses.peers_all, settings.planner, lambda item: self.post(item))
        self.unidentified: dict[Peer, None] = {}  # the first to come first
        self.arriving = 0  # connections taken, but not attended yet
        self.probing = 0  # probes that hold a descriptor
        self.peers: dict[Peer, None] = {}  # attended, until their sockets are closed; the first to come first
        self.released = asyncio.Event()  # set whenever one of these has given its descriptor back
        self.collectors: dict[int, list[Peer]] = {}  # of each zone; the older ones are heard too
        self.limiters: dict[int, RateLimiter] = {}  # of proxies, whatever connection they have
        self.waiting = Waiting(timing.waiting_most(addresses.memory_mb))
        self.post: Callable[[Item], None] = lambda item: None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, post: Callable[[Item], None]) -> None:
        """Speak with the others; proxies come last, when all else stands."""
        self.post = post
        loop = asyncio.get_running_loop()
        if self.settings.peers_allowed and self.addresses.peer_listen:
            await loop.create_datagram_endpoint(
                lambda: self.datagrams, local_addr=split_address(self.addresses.peer_listen)
            )
        listener = self.listen_at(self.addresses.listen)
        self.keep_up("list", self.discovery.run)
        self.keep_up("listener", lambda: self.listen(listener))
        self.keep_up("sweep", self.sweep)

    def readdress(self, addresses: Addresses) -> None:
        """Go on with other addresses and limits."""
        self.addresses = addresses
        self.waiting.most = timing.waiting_most(addresses.memory_mb)
        self.datagrams.readdress(addresses.peers, addresses.peers_all)
        self.discovery.mailbox.put_nowait(Move(addresses.discovery))

    def keep(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.ended)

    def keep_up(self, name: str, work: Callable[[], Coroutine[object, object, None]]) -> None:
        """What the process is nothing without: a fault is logged, and it begins again."""

        async def again() -> None:
            while True:
                try:
                    return await work()
                except Exception as error:
                    logger.opt(exception=True).error("{}: fault {!r}; it begins again", name, error)
                    await asyncio.sleep(timing.FAULT_AGAIN / 1000.0)

        self.keep(again())

    def ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("fault {!r}", error)

    async def listen(self, listener: socket.socket) -> None:
        """Take in all that wait, so that proxies that come together join in one batch.

        The loop's own server, short of descriptors, tries and logs in a storm.
        """
        loop = asyncio.get_running_loop()
        while True:
            while self.arriving >= timing.ACCEPT_BURST:
                await asyncio.sleep(0)
            await self.room()
            try:
                connection, _ = await loop.sock_accept(listener)
            except OSError as error:
                logger.warning("connection not accepted: {}", error)
                self.make_room()
                await asyncio.sleep(timing.ACCEPT_AGAIN / 1000.0)
                continue
            self.arriving += 1
            self.keep(self.attend(connection))

    async def room(self) -> None:
        """Wait until another connection may be held. One told to go makes no room before its socket is closed."""
        while self.full():
            self.released.clear()
            if self.make_room():
                await self.released.wait()
            else:
                await asyncio.sleep(timing.YOUNG / 5000.0)

    def full(self) -> bool:
        """Whether connections and probes hold all descriptors they may: those being closed still hold theirs."""
        return self.arriving + len(self.peers) + self.probing >= max(1, self.addresses.sockets - timing.KEPT_SOCKETS)

    def make_room(self) -> bool:
        """Close the first unidentified connection, unless its first bytes may be unread; else who went quiet."""
        now = asyncio.get_running_loop().time()
        if (first := next(iter(self.unidentified), None)) is not None:
            if first.since > now - timing.YOUNG / 1000.0:
                return False
            self.drop(first, "as no descriptor is left")
            return True
        quiet = min(self.peers, key=lambda peer: peer.heard_at, default=None)
        if quiet is None or quiet.ended or quiet.heard_at > now - timing.QUIET / 1000.0:
            return False
        quiet.end("as no descriptor is left and it says nothing")
        return True

    async def attend(self, connection: socket.socket) -> None:
        try:
            reader, writer = await asyncio.open_connection(sock=connection, limit=timing.READ_BYTES)
        except OSError as error:
            logger.info("a connection ended before it was attended: {}", error)
            connection.close()
            self.released.set()
            return
        finally:
            self.arriving -= 1
        peer = Peer(
            reader,
            writer,
            self.names,
            self.settings.proxies,
            self.post,
            self.known,
            self.limiter,
            self.waiting,
            lambda server: self.roster.ids.name(server) is not None,
        )
        self.peers[peer] = None
        self.known(peer, False)
        try:
            await peer.run()
        except Exception as error:
            logger.exception("{}: fault {!r}", peer, error)
        finally:
            self.unidentified.pop(peer, None)
            if peer.zone is not None:
                self.collectors[peer.zone].remove(peer)
        await socket_closed(writer)
        self.peers.pop(peer, None)
        self.released.set()

    def limiter(self, proxy: int) -> RateLimiter:
        """The limit of messages is of a proxy: a new stream begins no new count."""
        if proxy not in self.limiters:
            self.limiters[proxy] = RateLimiter(self.settings.message_cap, self.settings.message_window + timing.JITTER)
        return self.limiters[proxy]

    def known(self, peer: Peer, known: bool) -> None:
        """Keep who has not said what it is apart; of a zone's collectors the longest silent goes."""
        self.unidentified.pop(peer, None)
        if not known:
            self.unidentified[peer] = None
        elif peer.zone is not None:
            others = [other for other in self.collectors.get(peer.zone, []) if other is not peer]
            self.collectors[peer.zone] = [*others, peer]
            if len(others) >= timing.COLLECTORS_MOST:
                min(others, key=lambda other: other.heard_at).end("as its zone has newer collectors")

    def drop(self, peer: Peer, why: str) -> None:
        self.unidentified.pop(peer, None)
        peer.end(why)

    async def sweep(self) -> None:
        """Unidentified connections have one deadline from their coming, whatever they say; what lies ready counts."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + timing.SWEEP / 1000.0
            await asyncio.sleep(timing.SWEEP / 1000.0)
            if loop.time() > due + timing.GRACE / 1000.0:  # this process stood still
                await asyncio.sleep(timing.GRACE / 1000.0)
            until = loop.time() - timing.IDENTIFY / 1000.0
            for peer in [peer for peer in self.unidentified if peer.since < until]:
                self.drop(peer, f"as it has not said what it is for {timing.IDENTIFY / 1000.0:g} s")

    def deliver(self, messages: Sequence[tuple[Line, Message]]) -> None:
        encoded = self.encoder.encode([message for _, message in messages])
        for (line, _), data in zip(messages, encoded, strict=True):
            if isinstance(line, Peer):
                line.send(data)

    def watch_list(self, on: bool) -> None:
        self.discovery.mailbox.put_nowait("watch" if on else "stop")

    def fetch_list(self) -> None:
        self.discovery.mailbox.put_nowait("fetch")

    def probe(self, server: Server, asked: Asked) -> None:
        async def ask() -> None:
            call = probe_call(asked.address, self.names)
            try:
                self.post(Probed(asked, await probe(server, call, self.names, self.clock)))
            finally:
                await call.closed()
                self.probing -= 1
                self.released.set()

        if self.full():  # connections that come need the descriptors
            return
        if asked.address:
            self.probing += 1  # from now on: many may be asked for in one turn
            self.keep(ask())
        else:  # no list has told where it is
            self.post(Probed(asked, face.ProbeResult(server, face.Probed.UNREACHABLE, 0.0)))

    def tell_peers(self, payload: bytes, peer: int | None) -> None:
        self.datagrams.send(payload, peer)
