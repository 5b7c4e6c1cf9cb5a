"""All that the service speaks with: the listener, discovery, probes and the other planners."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass

from loguru import logger

from stackwheel import interface as face
from stackwheel.interface import Server, Settings
from stackwheel.settings import Names
from stackwheel.state.clock import Clock
from stackwheel.state.module import Item
from stackwheel.state.orders import Message
from stackwheel.state.roster import Roster
from stackwheel.state.streams import Line
from stackwheel.wire import timing
from stackwheel.wire.datagrams import Datagrams
from stackwheel.wire.discovery import Discovery, Move
from stackwheel.wire.http import split_address
from stackwheel.wire.lines import Encoder
from stackwheel.wire.peer import Pace, Peer
from stackwheel.wire.probes import UNREACHABLE, probe


@dataclass(frozen=True, slots=True)
class Addresses:
    listen: str
    discovery: str
    peer_listen: str
    peers: tuple[str, ...]
    peers_all: str
    sockets: int


class Links:
    """The module's outside, on this protocol."""

    def __init__(self, addresses: Addresses, settings: Settings, names: Names, roster: Roster,
                 clock: Clock) -> None:
        self.addresses, self.settings, self.names = addresses, settings, names
        self.roster, self.clock = roster, clock
        self.encoder = Encoder(names, roster.ids)
        self.discovery = Discovery(addresses.discovery, roster.generation, not settings.list_on_request,
                                   lambda item: self.post(item))
        self.datagrams = Datagrams(addresses.peers, addresses.peers_all, settings.planner,
                                   lambda item: self.post(item))
        self.strangers: dict[Peer, None] = {}  # the longest silent first
        self.arriving = 0  # connections taken, but not attended yet
        self.collectors: dict[int, Peer] = {}  # the newest of each zone; older ones are still heard
        self.strangers_most = timing.strangers_most(addresses.sockets, settings.proxies, settings.zones)
        self.post: Callable[[Item], None] = lambda item: None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, post: Callable[[Item], None]) -> None:
        """Speak with the others; proxies come last, when all else stands."""
        self.post = post
        loop = asyncio.get_running_loop()
        if self.settings.peers_allowed and self.addresses.peer_listen:
            await loop.create_datagram_endpoint(lambda: self.datagrams,
                                                local_addr=split_address(self.addresses.peer_listen))
        self.keep(self.discovery.run())
        listener = socket.create_server(split_address(self.addresses.listen), backlog=timing.LISTEN_BACKLOG)
        listener.setblocking(False)
        self.keep(self.listen(listener))
        self.keep(self.sweep())

    def readdress(self, addresses: Addresses) -> None:
        """Go on with other addresses and limits."""
        self.addresses = addresses
        self.strangers_most = timing.strangers_most(addresses.sockets, self.settings.proxies,
                                                    self.settings.zones)
        self.datagrams.readdress(addresses.peers, addresses.peers_all)
        self.discovery.mailbox.put_nowait(Move(addresses.discovery))

    def keep(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.ended)

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
            try:
                connection, _ = await loop.sock_accept(listener)
            except OSError as error:
                logger.warning("connection not accepted: {}", error)
                if self.strangers:
                    self.drop(next(iter(self.strangers)), "no descriptor is left")
                await asyncio.sleep(timing.ACCEPT_AGAIN / 1000.0)
                continue
            self.arriving += 1
            self.keep(self.attend(connection))

    async def attend(self, connection: socket.socket) -> None:
        try:
            reader, writer = await asyncio.open_connection(sock=connection, limit=timing.READ_BYTES)
        finally:
            self.arriving -= 1
        peer = Peer(reader, writer, self.names, self.settings.proxies, self.post, self.known,
                    Pace(self.settings.message_cap, self.settings.message_window + timing.JITTER))
        self.known(peer, False)
        try:
            await peer.run()
        finally:
            self.strangers.pop(peer, None)
            if peer.zone is not None and self.collectors.get(peer.zone) is peer:
                del self.collectors[peer.zone]

    def known(self, peer: Peer, known: bool) -> None:
        """Keep who has not said what it is apart, and no more of them than leave room for proxies."""
        self.strangers.pop(peer, None)
        if known and peer.zone is not None:
            old, self.collectors[peer.zone] = self.collectors.get(peer.zone), peer
            if old not in (None, peer):
                old.superseded()
        if not known:
            self.strangers[peer] = None
            if len(self.strangers) > self.strangers_most:
                self.drop(next(iter(self.strangers)), "too many connections that say nothing")

    def drop(self, peer: Peer, why: str) -> None:
        logger.warning("{}: closed: {}", peer, why)
        self.strangers.pop(peer, None)
        peer.writer.transport.abort()

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(timing.SWEEP / 1000.0)
            until = asyncio.get_running_loop().time() - timing.STRANGER / 1000.0
            for peer in [peer for peer in self.strangers if peer.heard_at < until]:
                self.drop(peer, f"says nothing for {timing.STRANGER / 1000.0:g} s")

    def deliver(self, messages: Sequence[tuple[Line, Message]]) -> None:
        encoded = self.encoder.encode([message for _, message in messages])
        for (line, _), data in zip(messages, encoded, strict=True):
            if isinstance(line, Peer):
                line.send(data)

    def watch_list(self, on: bool) -> None:
        self.discovery.mailbox.put_nowait("watch" if on else "stop")

    def fetch_list(self) -> None:
        self.discovery.mailbox.put_nowait("fetch")

    def probe(self, server: Server) -> None:
        async def ask(address: str) -> None:
            self.post(await probe(server, address, self.names, self.clock))

        if address := self.roster.addresses.get(server):
            self.keep(ask(address))
        else:  # no list has told where it is
            self.post(face.ProbeResult(server, UNREACHABLE, 0.0))

    def tell_peers(self, payload: bytes, peer: int | None) -> None:
        self.datagrams.send(payload, peer)
