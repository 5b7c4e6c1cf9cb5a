"""How the run speaks with its processes: one typed JSON message a line, over standard input and output."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Generic, TypeVar

import msgspec

from stackwheel.scale.entries import Entry

# Of one message: a full list of 48,000 entries is 8 MB, propagation records up to 10 times that.
MAX_LINE_BYTES = 512 << 20


class ControlError(RuntimeError):
    """A process of the run ended, or said what can't be read."""


class Message(msgspec.Struct, frozen=True, tag=True):
    """Anything said on a control connection."""


class Ready(Message, frozen=True):
    """A process has started; `address` is where its service answers, if it has one."""

    address: str = ""


class Traffic(Message, frozen=True):
    """Payload bytes and messages so far, of all connections of a process together."""

    bytes_in: int = 0
    bytes_out: int = 0
    peer_bytes_in: int = 0  # of which in datagrams
    peer_bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0
    datagrams_computed: int = 0  # that the planners' peers would send, whether sent for real or not
    failures: int = 0  # calls and watches that failed


class GetTraffic(Message, frozen=True):
    """Answered with `Traffic`."""


class Load(Message, frozen=True):
    """To the registry: list these entries and begin to serve; answered with `Ready`."""

    host: str
    entries: list[Entry]


class Apply(Message, frozen=True):
    """To the registry: change these entries as one generation."""

    entries: list[Entry]


class GetFullList(Message, frozen=True):
    """To the registry: answered with `WholeList`."""


class MadeChange(msgspec.Struct, frozen=True):
    """One change at the registry, stamped with the monotonic clock, which all processes of a machine share."""

    name: str
    lifecycle: str
    started_at_ms: int
    generation: int
    made_at: float  # s


class FullList(Message, frozen=True):
    """All that the registry holds, and the changes made so far in their order."""

    generation: int
    entries: list[Entry]
    changes: list[MadeChange]


class HollowPlanner(msgspec.Struct, frozen=True):
    """One hollow planner of a process: whom it follows and what it should hold."""

    number: int
    cell: str  # "" for the whole list
    discovery: str  # one address, or several replicas with commas
    seed: int
    listen: str = ""  # its own datagram address
    peers: tuple[str, ...] = ()  # datagram addresses of the others of its cell


class Follow(Message, frozen=True):
    """To a hollow process: begin to follow with these planners; answered with `Ready` once all have begun."""

    zones: list[str]
    planners: list[HollowPlanner]


class CountPlannersWithList(Message, frozen=True):
    """To a hollow process: answered with `Held`."""


class PlannersWithList(Message, frozen=True):
    """How many of the planners of a process hold a list yet."""

    planners: int


class Record(Message, frozen=True):
    """To a hollow process: from now on, remember when each entry came into force at each planner."""


class Restart(Message, frozen=True):
    """To a hollow process: these planners end, with their connections, and start anew."""

    planners: list[int]


class DropEntry(Message, frozen=True):
    """To a hollow process: lose one entry of this planner, to prove that the comparison finds it."""

    planner: int


class Compare(Message, frozen=True):
    """To a hollow process: compare what each planner holds with what the registry lists for its cell."""

    generation: int
    cells: dict[str, list[Entry]]


class WrongPlanner(msgspec.Struct, frozen=True):
    """A planner that does not hold what it should, with one of its wrong entries."""

    planner: int
    wrong: int
    example: str


class Compared(Message, frozen=True):
    """What a comparison found: entries compared, planners that are right, and those that are not."""

    entries: int
    right: int
    wrong: list[WrongPlanner]
    digests: dict[str, list[str]]  # of each cell, the different digests of what its planners hold


class GetRecords(Message, frozen=True):
    """To a hollow process: answered with `Records`."""


class EntryRecord(msgspec.Struct, frozen=True, array_like=True):
    """When an entry came into force: at which planners, and when, on the monotonic clock in seconds."""

    name: str
    availability: int
    started: float
    planners: list[int]
    times: list[float]


class RestartRecord(msgspec.Struct, frozen=True, array_like=True):
    """When a planner ended to start anew, and when it held a list again."""

    planner: int
    ended: float
    ready_at: float


class Records(Message, frozen=True):
    """All that was recorded; `dropped`: records beyond the bound, which were not kept."""

    entries: list[EntryRecord]
    restarts: list[RestartRecord]
    dropped: int = 0


class Stop(Message, frozen=True):
    """End the process; so does the end of its standard input."""


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

T = TypeVar("T")


class Lines(Generic[T]):
    """Messages of one kind of union, a JSON object a line."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, kind: object) -> None:
        self.reader = reader
        self.writer = writer
        self.decoder: msgspec.json.Decoder[T] = msgspec.json.Decoder(kind)
        self.encoder = msgspec.json.Encoder()

    async def receive(self) -> T | None:
        """The next message; None at the end of the connection."""
        try:
            line = await self.reader.readline()
        except (ValueError, ConnectionError) as error:
            raise ControlError(f"control connection: {error}") from None
        if not line.endswith(b"\n"):
            return None
        try:
            return self.decoder.decode(line)
        except msgspec.DecodeError as error:
            raise ControlError(f"control message: {error}") from None

    async def send(self, message: Message) -> None:
        """Write one message; ControlError where nobody reads any more."""
        try:
            self.writer.write(self.encoder.encode(message) + b"\n")
            await self.writer.drain()
        except ConnectionError as error:
            raise ControlError(f"control connection: {error}") from None


async def standard_lines() -> Lines[Request]:
    """The control connection of a process of the run, on its standard input and output."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
    transport, protocol = await loop.connect_write_pipe(
        lambda: asyncio.streams.FlowControlMixin(loop=loop), os.fdopen(os.dup(1), "wb")
    )
    return Lines(reader, asyncio.StreamWriter(transport, protocol, None, loop), Request)
