"""The messages between a run and its processes: one JSON object a line, over standard input and output."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Generic, TypeVar

import msgspec

from stackwheel.errors import StackwheelError
from stackwheel.scale.entries import Entry

MAX_MESSAGE_BYTES = 512 << 20  # of one message: a list of 48,000 entries has 8 MB, propagation records 10 times that


class ControlError(StackwheelError):
    """A process of the run has ended, sent an unreadable message, or can't be started."""


class Message(msgspec.Struct, frozen=True, tag=True):
    """Any message on a control connection; its tag is the name of the class."""


class Ready(Message, frozen=True):
    """A process is ready; `address` is where it serves, if it does."""

    address: str = ""


class Traffic(Message, frozen=True):
    """Payload bytes and messages so far, of all connections of a process together."""

    bytes_in: int = 0
    bytes_out: int = 0
    peer_bytes_in: int = 0  # of these, in datagrams
    peer_bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0
    datagrams_computed: int = 0  # that the planners would send by their formula, whether they were sent or not
    failures: int = 0  # calls and watches that failed


class GetTraffic(Message, frozen=True):
    """To any process: the traffic so far; answered with `Traffic`."""


class Load(Message, frozen=True):
    """To the registry: list these entries and begin to serve at `host`; answered with `Ready`."""

    host: str
    entries: list[Entry]


class Apply(Message, frozen=True):
    """To the registry: change these entries as one generation."""

    entries: list[Entry]


class GetFullList(Message, frozen=True):
    """To the registry: its list and its changes; answered with `FullList`."""


class MadeChange(msgspec.Struct, frozen=True):
    """One change made at the registry."""

    name: str  # of the server
    lifecycle: str
    started_at_ms: int  # Unix ms
    generation: int
    made_at: float  # s on the monotonic clock, which all processes of a machine share


class FullList(Message, frozen=True):
    """All entries of the registry, and the changes made so far in their order."""

    generation: int
    entries: list[Entry]
    changes: list[MadeChange]


class HollowPlanner(msgspec.Struct, frozen=True):
    """One hollow planner of a process: what it follows, and its peers."""

    number: int
    cell: str  # "" for the full list
    discovery: str  # one address, or those of several replicas separated by commas
    seed: int
    listen: str = ""  # its own datagram address
    peers: tuple[str, ...] = ()  # datagram addresses of the other hollow planners of its cell


class Follow(Message, frozen=True):
    """To a hollow process: follow the list with these planners; answered with `Ready` once all have begun."""

    zones: list[str]
    planners: list[HollowPlanner]


class CountPlannersWithList(Message, frozen=True):
    """To a hollow process: how many of its planners have a list; answered with `PlannersWithList`."""


class PlannersWithList(Message, frozen=True):
    """How many planners of a process have received a list."""

    planners: int


class Record(Message, frozen=True):
    """To a hollow process: from now on, record when each entry comes into force at each planner."""


class Restart(Message, frozen=True):
    """To a hollow process: restart these planners, with new connections and without a list."""

    planners: list[int]


class DropEntry(Message, frozen=True):
    """To a hollow process: drop one entry of this planner, to prove that the comparison notices it."""

    planner: int


class Compare(Message, frozen=True):
    """To a hollow process: compare each planner's entries with those listed for its cell; answered with `Compared`."""

    generation: int
    cells: dict[str, list[Entry]]


class WrongPlanner(msgspec.Struct, frozen=True):
    """A planner that does not have the entries that it should have."""

    planner: int
    wrong: int  # entries, missing ones included
    example: str  # one of them in words


class Compared(Message, frozen=True):
    """The result of a comparison at one process."""

    entries: int  # that were compared
    right: int  # planners
    wrong: list[WrongPlanner]
    digests: dict[str, list[str]]  # of each cell, the different digests of its planners' entries


class GetRecords(Message, frozen=True):
    """To a hollow process: all that was recorded; answered with `Records`."""


class EntryRecord(msgspec.Struct, frozen=True, array_like=True):
    """At which planners an entry came into force, and when."""

    name: str  # of the server
    availability: int
    started: float  # Unix ms
    planners: list[int]  # numbers
    times: list[float]  # s on the monotonic clock, one for each of `planners`


class RestartRecord(msgspec.Struct, frozen=True, array_like=True):
    """When a planner ended in order to restart, and when it had a list again."""

    planner: int
    ended: float  # s on the monotonic clock
    ready_at: float  # s on the monotonic clock


class Records(Message, frozen=True):
    """All that a hollow process has recorded."""

    entries: list[EntryRecord]
    restarts: list[RestartRecord]
    dropped: int = 0  # records over the bound, which were not stored


class Stop(Message, frozen=True):
    """To any process: end; the end of its standard input has the same effect."""


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
    """One end of a control connection; `Received` is the union of the messages that come in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, kind: object) -> None:
        self.reader = reader
        self.writer = writer
        self.decoder: msgspec.json.Decoder[Received] = msgspec.json.Decoder(kind)
        self.encoder = msgspec.json.Encoder()

    async def receive(self) -> Received | None:
        """The next message, or None at the end of the connection; ControlError if it can't be read."""
        try:
            line = await self.reader.readline()
        except (ValueError, ConnectionError) as error:
            raise ControlError(f"control connection: {error}") from error
        if not line.endswith(b"\n"):
            return None
        try:
            return self.decoder.decode(line)
        except msgspec.DecodeError as error:
            raise ControlError(f"control message: {error}") from error

    async def send(self, message: Message) -> None:
        """Write one message; ControlError if the other end is closed."""
        try:
            self.writer.write(self.encoder.encode(message) + b"\n")
            await self.writer.drain()
        except ConnectionError as error:
            raise ControlError(f"control connection: {error}") from error


async def connect_standard_streams() -> ControlConnection[Request]:
    """A child process's end of its control connection, on standard input and output."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_MESSAGE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
    transport, protocol = await loop.connect_write_pipe(
        lambda: asyncio.streams.FlowControlMixin(loop=loop), os.fdopen(os.dup(1), "wb")
    )
    return ControlConnection(reader, asyncio.StreamWriter(transport, protocol, None, loop), Request)
