"""Control messages between a run and its processes: one JSON object per line over standard input and output."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Generic, TypeVar

import msgspec

from stackwheel.errors import StackwheelError
from stackwheel.scale.entries import Entry

MAX_MESSAGE_BYTES = 512 << 20  # A list of 48,000 entries takes about 8 MB, propagation records about ten times as much.


class ControlError(StackwheelError):
    """A process of the run ended, sent an invalid message, or cannot be started."""


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base class of the messages on a control connection; the tag on the wire is the class name."""


class Ready(Message, frozen=True):
    """Sent when a process is ready.

    Attributes:
        address: HOST:PORT at which the process serves; "" if it does not serve.
    """

    address: str = ""


class Traffic(Message, frozen=True):
    """Payload counters of a process since its start, summed over all connections.

    Attributes:
        bytes_in: received bytes, including datagrams.
        bytes_out: sent bytes, including datagrams.
        peer_bytes_in: received bytes in datagrams of peers.
        peer_bytes_out: sent bytes in datagrams to peers.
        datagrams_in: received datagrams.
        datagrams_out: sent datagrams.
        datagrams_computed: datagrams that real planners would send, whether or not they were sent.
        failures: failed watches of hollow planners; at the registry, requests that were answered with 503.
    """

    bytes_in: int = 0
    bytes_out: int = 0
    peer_bytes_in: int = 0
    peer_bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0
    datagrams_computed: int = 0
    failures: int = 0


class GetTraffic(Message, frozen=True):
    """Request to any process for its traffic counters; answered with `Traffic`."""


class Load(Message, frozen=True):
    """Request to the registry to start serving an endpoint list at `host`; answered with `Ready`."""

    host: str
    entries: list[Entry]


class Apply(Message, frozen=True):
    """Request to the registry to apply changed entries as one generation; not answered."""

    entries: list[Entry]


class GetFullList(Message, frozen=True):
    """Request to the registry for its endpoint list and the changes made so far; answered with `FullList`."""


class MadeChange(msgspec.Struct, frozen=True):
    """One change made at the registry.

    Attributes:
        name: name of the server.
        lifecycle: new lifecycle of the server.
        started_at_ms: start of the server's process, Unix ms.
        generation: generation of the endpoint list that contains the change.
        made_at: time of the change on the monotonic clock, which all processes of the machine share, s.
    """

    name: str
    lifecycle: str
    started_at_ms: int
    generation: int
    made_at: float


class FullList(Message, frozen=True):
    """All entries of the registry and the changes made so far, in order."""

    generation: int
    entries: list[Entry]
    changes: list[MadeChange]


class HollowPlanner(msgspec.Struct, frozen=True):
    """Settings of one hollow planner.

    Attributes:
        number: index of the planner in the fleet.
        cell: name of the planner's cell; "" if it watches the full endpoint list.
        discovery: address of discovery, or the addresses of several replicas separated by commas.
        seed: seed of the planner's random numbers.
        listen: address for datagrams to this planner.
        peers: addresses for datagrams to the other hollow planners of the cell.
    """

    number: int
    cell: str
    discovery: str
    seed: int
    listen: str = ""
    peers: tuple[str, ...] = ()


class Follow(Message, frozen=True):
    """Request to a hollow process to start these planners; answered with `Ready` once all of them have started."""

    zones: list[str]
    planners: list[HollowPlanner]


class CountPlannersWithList(Message, frozen=True):
    """Request to a hollow process for the number of its planners that have a list; answered with `PlannersWithList`."""


class PlannersWithList(Message, frozen=True):
    """Number of planners of a process that have received an endpoint list."""

    planners: int


class Record(Message, frozen=True):
    """Request to a hollow process to start recording when each entry comes into force at each planner; not answered."""


class Restart(Message, frozen=True):
    """Request to a hollow process to restart planners with new connections and empty caches; not answered."""

    planners: list[int]


class DropEntry(Message, frozen=True):
    """Request to a hollow process to drop one entry of a planner, which the comparison must detect; not answered."""

    planner: int


class Compare(Message, frozen=True):
    """Request to a hollow process to compare its planners' entries with the registry's; answered with `Compared`.

    Attributes:
        generation: generation of the registry's endpoint list.
        cells: entries of that list by cell.
    """

    generation: int
    cells: dict[str, list[Entry]]


class WrongPlanner(msgspec.Struct, frozen=True):
    """A planner whose entries differ from the registry's endpoint list.

    Attributes:
        planner: number of the planner.
        wrong: number of wrong or missing entries.
        example: description of one of these entries.
    """

    planner: int
    wrong: int
    example: str


class Compared(Message, frozen=True):
    """Result of a comparison in one process.

    Attributes:
        entries: number of compared entries.
        right: number of planners without a difference.
        wrong: planners with a difference.
        digests: distinct digests of the planners' entries, by cell.
    """

    entries: int
    right: int
    wrong: list[WrongPlanner]
    digests: dict[str, list[str]]


class GetRecords(Message, frozen=True):
    """Request to a hollow process for everything it has recorded; answered with `Records`."""


class EntryRecord(msgspec.Struct, frozen=True, array_like=True):
    """The planners at which an entry came into force, with the times.

    Attributes:
        name: name of the server.
        availability: value of `Availability`.
        started: start of the server's process, Unix ms.
        planners: numbers of the planners.
        times: monotonic time for each element of `planners`, s.
    """

    name: str
    availability: int
    started: float
    planners: list[int]
    times: list[float]


class RestartRecord(msgspec.Struct, frozen=True, array_like=True):
    """One restart of a planner.

    Attributes:
        planner: number of the planner.
        ended: monotonic time at which the earlier incarnation ended, s.
        ready_at: monotonic time at which the new incarnation received its first list, s.
    """

    planner: int
    ended: float
    ready_at: float


class Records(Message, frozen=True):
    """Everything that a hollow process has recorded.

    Attributes:
        entries: records of entries that came into force.
        restarts: restarts of planners.
        dropped: number of records above the limit, which were not stored.
    """

    entries: list[EntryRecord]
    restarts: list[RestartRecord]
    dropped: int = 0


class Stop(Message, frozen=True):
    """Request to any process to end; closing its standard input has the same effect."""


Request = (
    GetTraffic
    | Load
    | Apply
    | GetFullList
    | Follow
    | CountPlannersWithList
    | Record
    | Restart
    | DropEntry
    | Compare
    | GetRecords
    | Stop
)
Answer = Ready | Traffic | FullList | PlannersWithList | Compared | Records

Received = TypeVar("Received")


class ControlConnection(Generic[Received]):
    """One end of a control connection; `Received` is the union of the message types that it receives."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, kind: object) -> None:
        self.reader = reader
        self.writer = writer
        self.decoder: msgspec.json.Decoder[Received] = msgspec.json.Decoder(kind)
        self.encoder = msgspec.json.Encoder()

    async def receive(self) -> Received | None:
        """Return the next message, or None at the end of the connection.

        Raises:
            ControlError: the connection failed, or the message is invalid.
        """
        try:
            line = await self.reader.readline()
        except (ValueError, ConnectionError) as error:
            raise ControlError(f"receiving from the control connection failed: {error}") from error
        if not line.endswith(b"\n"):
            return None
        try:
            return self.decoder.decode(line)
        except msgspec.DecodeError as error:
            raise ControlError(f"invalid message on the control connection: {error}") from error

    async def send(self, message: Message) -> None:
        """Write one message.

        Raises:
            ControlError: the other end is closed.
        """
        try:
            self.writer.write(self.encoder.encode(message) + b"\n")
            await self.writer.drain()
        except ConnectionError as error:
            raise ControlError(f"sending on the control connection failed: {error}") from error


async def connect_standard_streams() -> ControlConnection[Request]:
    """Open the child process's end of the control connection on standard input and output."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_MESSAGE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
    transport, protocol = await loop.connect_write_pipe(
        lambda: asyncio.streams.FlowControlMixin(loop=loop), os.fdopen(os.dup(1), "wb")
    )
    return ControlConnection(reader, asyncio.StreamWriter(transport, protocol, None, loop), Request)
