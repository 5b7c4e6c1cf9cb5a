"""The simulated network: delays, fragments, cuts, refused, reset and half-open connections, and datagrams."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from stackwheel.trials.loop import Machine, VirtualLoop
from stackwheel.trials.network import Network
from stackwheel.trials.transport import HIGH_WATER_BYTES, RECEIVE_WINDOW_BYTES

ADDRESS = ("10.0.0.2", 80)


class RecordingPeer:
    """A scripted peer that records the callbacks of its protocol."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.lost: list[Exception | None] = []
        self.transport: Any = None
        self.paused = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received.append(data)

    def eof_received(self) -> bool | None:
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.append(exc)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False


class Pair:
    """A client and a server on two machines, connected if the server listens."""

    def __init__(self, listening: bool = True) -> None:
        self.loop = VirtualLoop()  # type: ignore[abstract]
        self.network = Network(self.loop, random.Random(1), lambda _source, _target: 0.01)
        self.a = Machine("a")
        self.b = Machine("b")
        self.network.assign_host("10.0.0.1", self.a)
        self.network.assign_host("10.0.0.2", self.b)
        self.client = RecordingPeer()
        self.servers: list[RecordingPeer] = []
        if listening:
            self.network.listen(self.b, ADDRESS, self.serve)
        self.dial()

    def serve(self) -> RecordingPeer:
        self.servers.append(RecordingPeer())
        return self.servers[-1]

    def dial(self) -> None:
        self.loop.schedule_at(self.loop.now, self.a, self.network.dial, self.a, ADDRESS, self.client)
        self.run(1.0)

    def run(self, span: float) -> None:
        self.loop.run_until(self.loop.now + span)

    def send(self, *pieces: bytes) -> None:
        assert self.client.transport is not None
        for piece in pieces:
            self.client.transport.write(piece)


def test_bytes_arrive_after_the_latency_and_in_order() -> None:
    pair = Pair()
    pair.send(b"one", b"two")
    assert pair.servers[0].received == []
    pair.run(0.001)
    assert pair.servers[0].received == []
    pair.run(0.1)
    assert pair.servers[0].received == [b"one", b"two"]


def test_fragmented_write_arrives_in_two_pieces() -> None:
    pair = Pair()
    pair.network.conditions.fragmented = 1.0
    pair.send(b"abcdefgh")
    pair.run(0.1)
    assert len(pair.servers[0].received) == 2
    assert b"".join(pair.servers[0].received) == b"abcdefgh"


def test_dial_without_listener_is_refused() -> None:
    pair = Pair(listening=False)
    assert isinstance(pair.client.lost[0], ConnectionRefusedError)


def test_unidirectional_cut_blocks_only_one_direction() -> None:
    pair = Pair()
    pair.network.cut("a", "b")
    pair.send(b"one")
    pair.servers[0].transport.write(b"back")
    pair.run(5.0)
    assert pair.servers[0].received == []
    assert pair.client.received == [b"back"]
    assert not pair.client.lost
    pair.network.heal("a", "b")
    pair.send(b"two")
    pair.run(0.1)
    assert pair.servers[0].received == [b"one", b"two"]


def test_path_with_two_cuts_is_open_after_both_are_removed() -> None:
    pair = Pair()
    pair.network.cut("a", "b")
    pair.network.cut("a", "b")
    pair.send(b"one")
    pair.network.heal("a", "b")
    pair.run(1.0)
    assert pair.servers[0].received == []
    pair.network.heal("a", "b")
    pair.run(1.0)
    assert pair.servers[0].received == [b"one"]


def test_dial_during_a_cut_connects_after_it_by_a_retry() -> None:
    pair = Pair()
    pair.network.cut("a", "b")
    pair.client = RecordingPeer()
    pair.dial()
    pair.run(2.0)
    assert pair.client.transport is None
    assert not pair.client.lost
    pair.network.heal("a", "b")
    pair.run(4.0)
    assert pair.client.transport is not None


def test_killed_process_resets_its_connections_unless_resets_are_off() -> None:
    pair = Pair()
    pair.network.kill(pair.b)
    pair.run(0.1)
    assert isinstance(pair.client.lost[0], ConnectionResetError)
    pair = Pair()
    pair.network.kill(pair.b, resets_connections=False)
    pair.send(b"anyone")
    pair.run(60.0)
    assert not pair.client.lost
    pair.network.assign_host("10.0.0.2", Machine("b"))
    pair.network.reset_vanished(pair.b)
    pair.run(0.1)
    assert isinstance(pair.client.lost[0], ConnectionResetError)


def test_half_open_connection_loses_bytes_of_both_directions() -> None:
    pair = Pair()
    assert pair.client.transport is not None
    pair.client.transport.half_open = True
    pair.client.transport.peer.half_open = True
    pair.send(b"one")
    pair.servers[0].transport.write(b"back")
    pair.run(60.0)
    assert not pair.servers[0].received
    assert not pair.client.received
    assert not pair.client.lost


def test_writer_to_an_abandoned_end_is_reset() -> None:
    pair = Pair()
    assert pair.client.transport is not None
    pair.client.transport.abandon()
    pair.servers[0].transport.write(b"back")
    pair.run(0.1)
    assert isinstance(pair.servers[0].lost[0], ConnectionResetError)
    assert not pair.client.lost


def test_bytes_sent_before_an_abort_arrive_before_the_end() -> None:
    pair = Pair()
    pair.send(b"last words")
    assert pair.client.transport is not None
    pair.client.transport.abort()
    pair.run(0.1)
    assert pair.servers[0].received == [b"last words"]
    assert isinstance(pair.servers[0].lost[0], ConnectionResetError)


def test_paused_reader_pauses_the_writer_until_it_resumes() -> None:
    pair = Pair()
    server = pair.servers[0].transport
    server.pause_reading()
    pair.send(b"x" * RECEIVE_WINDOW_BYTES)
    assert not pair.client.paused
    pair.send(b"x" * (HIGH_WATER_BYTES + 1))
    assert pair.client.paused
    assert pair.client.transport is not None
    assert pair.client.transport.get_write_buffer_size() == HIGH_WATER_BYTES + 1
    pair.run(1.0)
    assert not pair.servers[0].received
    server.resume_reading()
    pair.run(0.1)
    assert not pair.client.paused
    assert sum(map(len, pair.servers[0].received)) == RECEIVE_WINDOW_BYTES + HIGH_WATER_BYTES + 1


def test_stalled_process_receives_buffered_bytes_when_it_resumes() -> None:
    pair = Pair()
    pair.loop.set_stalled(pair.b, True)
    pair.send(b"one")
    pair.run(5.0)
    assert pair.servers[0].received == []
    pair.loop.set_stalled(pair.b, False)
    pair.run(0.0)
    assert pair.servers[0].received == [b"one"]


@pytest.mark.parametrize(("field", "counts"), [("lost", {0}), ("duplicated", {2}), ("reordered", {1})])
def test_datagrams_are_lost_duplicated_or_reordered(field: str, counts: set[int]) -> None:
    pair = Pair()
    received: list[bytes] = []

    class Receiver(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, _addr: Any) -> None:
            received.append(data)

    pair.network.bind(pair.b, ("10.0.0.2", 7), Receiver())
    end, _ = pair.network.bind(pair.a, ("10.0.0.1", 7), Receiver())
    setattr(pair.network.conditions, field, 1.0)
    sent = [bytes([n]) for n in range(20)]
    for data in sent:
        end.sendto(data, ("10.0.0.2", 7))
    pair.run(1.0)
    assert {received.count(data) for data in sent} == counts
    assert field != "reordered" or received != sent


def test_asyncio_streams_work_on_the_simulated_network() -> None:
    pair = Pair(listening=False)

    async def serve() -> bytes:
        listener = pair.network.listen(pair.b, ADDRESS)
        sock, _ = await asyncio.get_running_loop().sock_accept(listener)  # type: ignore[arg-type]
        reader, writer = await asyncio.open_connection(sock=sock)
        line = await reader.readline()
        writer.write(line.upper())
        await writer.drain()
        return line

    async def call() -> bytes:
        reader, writer = await asyncio.open_connection(*ADDRESS)
        writer.write(b"hello\n")
        return await reader.readline()

    pair.loop.start_process(pair.b, serve())
    task = pair.loop.start_process(pair.a, call())
    pair.run(1.0)
    assert task.result() == b"HELLO\n"


def test_asyncio_server_serves_connections_that_stay_open_after_it_is_closed() -> None:
    """Guards `asyncio.start_server` with a listener that was opened before."""
    pair = Pair(listening=False)
    served: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served.append(writer)
        writer.write(await reader.readline())

    async def begin() -> asyncio.Server:
        listener: Any = pair.network.listen(pair.b, ADDRESS)
        return await asyncio.start_server(serve, sock=listener)

    task = pair.loop.start_process(pair.b, begin())
    pair.run(0.1)
    pair.client = RecordingPeer()
    pair.dial()
    pair.send(b"hello\n")
    pair.run(1.0)
    assert pair.client.received == [b"hello\n"]
    task.result().close()
    pair.send(b"more\n")
    pair.run(1.0)
    assert pair.client.lost == []
    assert not served[0].is_closing()
    other = pair.client = RecordingPeer()
    pair.dial()
    assert isinstance(other.lost[0], ConnectionRefusedError)
    served[0].transport.abort()


def test_writer_with_high_watermark_zero_pauses_until_the_buffer_is_empty() -> None:
    pair = Pair()
    pair.network.receive_window = 1000
    assert pair.client.transport is not None
    assert pair.servers[0].transport is not None
    pair.servers[0].transport.pause_reading()
    pair.send(b"x" * 1500)
    assert not pair.client.paused  # below the default high watermark
    pair.client.transport.set_write_buffer_limits(high=0)
    assert pair.client.transport.get_write_buffer_limits() == (0, 0)
    pair.send(b"x")
    assert pair.client.paused
    assert pair.client.transport.get_write_buffer_size() == 501
    pair.run(1.0)
    pair.servers[0].transport.resume_reading()
    pair.run(1.0)
    assert not pair.client.paused
