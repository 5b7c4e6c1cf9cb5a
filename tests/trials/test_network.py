"""The scripted network: bytes in order, late, held, torn or lost; connections refused, reset, half open, stalled."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from stackwheel.trials.loop import Machine, VirtualLoop
from stackwheel.trials.network import HIGH, WINDOW, Network, Transport

ADDRESS = ("10.0.0.2", 80)


class End:
    """A scripted peer that notes what it hears."""

    def __init__(self) -> None:
        self.heard: list[bytes] = []
        self.lost: list[Exception | None] = []
        self.transport: Transport | None = None
        self.paused = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.heard.append(data)

    def eof_received(self) -> bool | None:
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.append(exc)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False


class Pair:
    """A client and a server, one connection between them."""

    def __init__(self, listening: bool = True) -> None:
        self.loop = VirtualLoop()  # type: ignore[abstract]
        self.network = Network(self.loop, random.Random(1), lambda a, b: 0.01)
        self.a, self.b = Machine("a"), Machine("b")
        self.network.settle("10.0.0.1", self.a)
        self.network.settle("10.0.0.2", self.b)
        self.client, self.servers = End(), []
        if listening:
            self.network.listen(self.b, ADDRESS, self.serve)
        self.dial()

    def serve(self) -> End:
        self.servers.append(End())
        return self.servers[-1]

    def dial(self) -> None:
        self.loop.at(self.loop.now, self.a, self.network.dial, self.a, ADDRESS, self.client)
        self.run(1.0)

    def run(self, span: float) -> None:
        self.loop.run_until(self.loop.now + span)

    def say(self, *pieces: bytes) -> None:
        assert self.client.transport is not None
        for piece in pieces:
            self.client.transport.write(piece)


def test_bytes_arrive_late_and_in_order() -> None:
    pair = Pair()
    pair.say(b"one", b"two")
    assert pair.servers[0].heard == []
    pair.run(0.001)
    assert pair.servers[0].heard == []
    pair.run(0.1)
    assert pair.servers[0].heard == [b"one", b"two"]


def test_bytes_arrive_in_pieces() -> None:
    pair = Pair()
    pair.network.now.pieces = 1.0
    pair.say(b"abcdefgh")
    pair.run(0.1)
    assert len(pair.servers[0].heard) == 2 and b"".join(pair.servers[0].heard) == b"abcdefgh"


def test_nobody_listens() -> None:
    pair = Pair(listening=False)
    assert isinstance(pair.client.lost[0], ConnectionRefusedError)


def test_a_one_way_cut_holds_what_goes_that_way_and_lets_the_other_pass() -> None:
    pair = Pair()
    pair.network.cut("a", "b")
    pair.say(b"one")
    pair.servers[0].transport.write(b"back")
    pair.run(5.0)
    assert pair.servers[0].heard == [] and pair.client.heard == [b"back"] and not pair.client.lost
    pair.network.heal("a", "b")
    pair.say(b"two")
    pair.run(0.1)
    assert pair.servers[0].heard == [b"one", b"two"]


def test_two_cuts_on_one_way_both_have_to_heal() -> None:
    pair = Pair()
    pair.network.cut("a", "b")
    pair.network.cut("a", "b")
    pair.say(b"one")
    pair.network.heal("a", "b")
    pair.run(1.0)
    assert pair.servers[0].heard == []
    pair.network.heal("a", "b")
    pair.run(1.0)
    assert pair.servers[0].heard == [b"one"]


def test_a_dial_into_a_cut_comes_up_after_it_as_the_kernel_tries_again() -> None:
    pair = Pair()
    pair.network.cut("a", "b")
    pair.client = End()
    pair.dial()
    pair.run(2.0)
    assert pair.client.transport is None and not pair.client.lost
    pair.network.heal("a", "b")
    pair.run(4.0)
    assert pair.client.transport is not None


def test_a_process_that_dies_resets_its_connections_and_one_that_vanishes_gives_no_sign() -> None:
    pair = Pair()
    pair.network.kill(pair.b)
    pair.run(0.1)
    assert isinstance(pair.client.lost[0], ConnectionResetError)
    pair = Pair()
    pair.network.kill(pair.b, sign=False)
    pair.say(b"anyone")
    pair.run(60.0)
    assert not pair.client.lost
    pair.network.settle("10.0.0.2", Machine("b"))
    pair.network.return_of(pair.b)
    pair.run(0.1)
    assert isinstance(pair.client.lost[0], ConnectionResetError)


def test_a_half_open_connection_swallows_both_ways() -> None:
    pair = Pair()
    assert pair.client.transport is not None
    pair.client.transport.swallow = pair.client.transport.far.swallow = True
    pair.say(b"one")
    pair.servers[0].transport.write(b"back")
    pair.run(60.0)
    assert not pair.servers[0].heard and not pair.client.heard and not pair.client.lost


def test_who_writes_to_an_end_that_was_given_up_is_reset() -> None:
    pair = Pair()
    assert pair.client.transport is not None
    pair.client.transport.drop()
    pair.servers[0].transport.write(b"back")
    pair.run(0.1)
    assert isinstance(pair.servers[0].lost[0], ConnectionResetError) and not pair.client.lost


def test_what_left_before_an_abort_still_arrives_before_the_end() -> None:
    pair = Pair()
    pair.say(b"last words")
    assert pair.client.transport is not None
    pair.client.transport.abort()
    pair.run(0.1)
    assert pair.servers[0].heard == [b"last words"] and isinstance(pair.servers[0].lost[0], ConnectionResetError)


def test_a_reader_that_does_not_read_pauses_the_writer_until_it_does() -> None:
    pair = Pair()
    server = pair.servers[0].transport
    server.pause_reading()
    pair.say(b"x" * WINDOW)
    assert not pair.client.paused
    pair.say(b"x" * (HIGH + 1))
    assert pair.client.paused and pair.client.transport is not None
    assert pair.client.transport.get_write_buffer_size() == HIGH + 1
    pair.run(1.0)
    assert not pair.servers[0].heard
    server.resume_reading()
    pair.run(0.1)
    assert not pair.client.paused and sum(map(len, pair.servers[0].heard)) == WINDOW + HIGH + 1


def test_a_stalled_process_finds_what_its_kernel_took() -> None:
    pair = Pair()
    pair.loop.stand_still(pair.b, True)
    pair.say(b"one")
    pair.run(5.0)
    assert pair.servers[0].heard == []
    pair.loop.stand_still(pair.b, False)
    pair.run(0.0)
    assert pair.servers[0].heard == [b"one"]


@pytest.mark.parametrize(("field", "counts"), [("lost", {0}), ("doubled", {2}), ("reordered", {1})])
def test_datagrams(field: str, counts: set[int]) -> None:
    pair = Pair()
    heard: list[bytes] = []

    class Ear(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: Any) -> None:
            heard.append(data)

    pair.network.bind(pair.b, ("10.0.0.2", 7), Ear())
    end, _ = pair.network.bind(pair.a, ("10.0.0.1", 7), Ear())
    setattr(pair.network.now, field, 1.0)
    sent = [bytes([n]) for n in range(20)]
    for data in sent:
        end.sendto(data, ("10.0.0.2", 7))
    pair.run(1.0)
    assert {heard.count(data) for data in sent} == counts
    assert field != "reordered" or heard != sent


def test_asyncio_streams_run_on_it() -> None:
    pair = Pair(listening=False)

    async def serve() -> bytes:
        listener = pair.network.listen(pair.b, ADDRESS)
        sock, _ = await asyncio.get_running_loop().sock_accept(listener)  # type: ignore[arg-type]
        reader, writer = await asyncio.open_connection(sock=sock)
        line = await reader.readline()
        writer.write(line.upper())
        await writer.drain()
        return line

    async def ask() -> bytes:
        reader, writer = await asyncio.open_connection(*ADDRESS)
        writer.write(b"hello\n")
        return await reader.readline()

    pair.loop.start(pair.b, serve())
    task = pair.loop.start(pair.a, ask())
    pair.run(1.0)
    assert task.result() == b"HELLO\n"


def test_a_served_listener_hands_its_connections_to_tasks_and_ends_without_them() -> None:
    """As `asyncio.start_server` asks for it, of a loop and of a socket that was opened before."""
    pair = Pair(listening=False)
    served: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served.append(writer)
        writer.write(await reader.readline())

    async def begin() -> asyncio.Server:
        listener: Any = pair.network.listen(pair.b, ADDRESS)
        return await asyncio.start_server(serve, sock=listener)

    task = pair.loop.start(pair.b, begin())
    pair.run(0.1)
    pair.client = End()
    pair.dial()
    pair.say(b"hello\n")
    pair.run(1.0)
    assert pair.client.heard == [b"hello\n"]
    task.result().close()
    pair.say(b"more\n")
    pair.run(1.0)
    assert pair.client.lost == [] and not served[0].is_closing()  # what is open stays so
    other = pair.client = End()
    pair.dial()
    assert isinstance(other.lost[0], ConnectionRefusedError)
    served[0].transport.abort()


def test_a_writer_with_its_mark_at_zero_waits_for_all_that_the_kernel_has_not_taken() -> None:
    pair = Pair()
    pair.network.window = 1000
    assert pair.client.transport is not None and pair.servers[0].transport is not None
    pair.servers[0].transport.pause_reading()
    pair.say(b"x" * 1500)
    assert not pair.client.paused  # the usual marks
    pair.client.transport.set_write_buffer_limits(high=0)
    assert pair.client.transport.get_write_buffer_limits() == (0, 0)
    pair.say(b"x")
    assert pair.client.paused and pair.client.transport.get_write_buffer_size() == 501
    pair.run(1.0)
    pair.servers[0].transport.resume_reading()
    pair.run(1.0)
    assert not pair.client.paused
