"""The line codec: lines in become typed values, messages out become lines; each once."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator, Sequence

from stackwheel.interface import Server
from stackwheel.settings import COLUMNS, Names
from stackwheel.state.server_ids import ServerIds
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart
from stackwheel.wire.messages import Ack, Join, Load, MalformedMessage, Message, Ping, ProtocolViolation, Rate, Source

END = b"\r\n"
PONG = b"PONG" + END
NACK = b"NACK" + END  # the last word to who is not joined
FIRST_BYTES = 4096  # of a connection that has not said what it is, in all
MOST_BYTES = 1 << 20  # of a message
FIGURE = re.compile(r"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?|\.[0-9]+")
WHOLE = re.compile(r"[0-9]{1,18}")
DIGITS = 6  # of a weight or level
COUNT_MOST = (1 << 32) - 1  # of requests in one report, and of a figure in a load report
TIME_MOST = 86_400_000.0  # ms, a day: no span, answer or delay is as long
NO_TEXT = re.compile(rb"[\x00-\x1f\x7f]")  # in a message


class FieldError(ValueError):
    """A field that is missing, says nothing, or says what can't be."""


class GrammarError(ValueError):
    """Words that are not all name=value, each name once: messages that ran into each other look so."""


class Splitter:
    """Cuts what arrives, in whatever pieces, into lines; never holds more than the limit."""

    def __init__(self) -> None:
        self.held, self.limit, self.overrun = bytearray(), FIRST_BYTES, False
        self.taken = 0  # bytes of the lines so far

    def feed(self, data: bytes) -> Iterator[bytes]:
        self.held += data
        searched = max(0, len(self.held) - len(data) - 1)
        while (end := self.held.find(END, searched)) >= 0:
            if end > self.limit:
                break
            line = bytes(self.held[:end])
            del self.held[: end + len(END)]
            searched = 0
            self.taken += len(line) + len(END)
            yield line
        self.overrun = len(self.held) > self.limit


class Fields:
    """The words of a line by name, each read as what it should be."""

    def __init__(self, words: Sequence[str], names: Names) -> None:
        self.names = names
        self.values: dict[str, str] = {}
        for word in words:
            name, equals, value = word.partition("=")
            if not equals or not name or name in self.values:
                raise GrammarError(f"word {word[:40]!r}")
            self.values[name] = value

    def text(self, name: str) -> str:
        if not self.values.get(name):
            raise FieldError(f"no {name}")
        return self.values[name]

    def time(self, name: str) -> float:
        return read_figure(name, self.text(name), TIME_MOST)

    def span(self, name: str) -> float:
        """What a report is over: some time at least."""
        value = self.time(name)
        if value <= 0:
            raise FieldError(f"{name}={value:g}")
        return value

    def whole(self, name: str, most: int = COUNT_MOST) -> int:
        text = self.text(name)
        if not WHOLE.fullmatch(text) or int(text) > most:
            raise FieldError(f"{name}={text[:40]!r}")
        return int(text)

    def flag(self, name: str) -> bool:
        text = self.text(name)
        if text not in ("0", "1"):
            raise FieldError(f"{name}={text[:40]!r}")
        return text == "1"

    def place(self, name: str, among: tuple[str, ...]) -> int:
        text = self.text(name)
        if text not in among:
            raise FieldError(f"unknown {name}={text[:40]!r}")
        return among.index(text)

    def zone(self) -> int:
        return self.place("site", self.names.zones)


def read_load(text: str, between: str) -> tuple[tuple[str, float], ...]:
    """A load report by column, in the settings' names."""
    pairs = [pair.partition(between) for pair in text.split(",") if pair]
    return tuple((COLUMNS.get(column, column), read_figure(column, value)) for column, _, value in pairs)


def read_figure(name: str, text: str, most: float = COUNT_MOST) -> float:
    if not FIGURE.fullmatch(text) or not float(text) <= most:
        raise FieldError(f"{name}={text[:40]!r}")
    return float(text)


def read_report(f: Fields) -> Load:
    tries = f.whole("count")
    return Load(
        f.zone(),
        f.text("target"),
        tries,
        f.whole("fail", tries),
        f.time("mean"),
        f.span("over"),
        read_load(f.values.get("util", ""), ":"),
    )


READERS: dict[str, Callable[[Fields], Message]] = {
    "PING": lambda f: Ping(),
    "SOURCE": lambda f: Source(f.zone()),
    "LOAD": read_report,
    "RATE": lambda f: Rate(
        f.whole("id"), f.place("lane", f.names.classes), f.whole("count"), f.whole("fail"), f.span("over")
    ),
    "SUBSCRIBE": lambda f: Join(f.whole("id"), f.zone(), read_figure("rps", f.text("rps")), f.flag("new")),
    "ACK": lambda f: Ack(f.whole("id"), f.whole("seq"), f.time("ms")),
}


def decode(line: bytes, names: Names) -> Message | MalformedMessage | ProtocolViolation:
    try:
        kind, *words = line.decode("utf-8").split(" ")
    except UnicodeDecodeError as error:
        return ProtocolViolation(f"not UTF-8 at byte {error.start}")
    if kind not in READERS:
        return ProtocolViolation(f"unknown kind {kind[:40]!r}")
    try:
        return READERS[kind](Fields([word for word in words if word], names))
    except GrammarError as error:
        return ProtocolViolation(f"{kind}: {error}")
    except FieldError as error:
        return MalformedMessage(f"{kind}: {error}")


KINDS = tuple(name.encode() for name in READERS)


def begun(held: bytes | bytearray) -> ProtocolViolation | None:
    """Whether the start of a line may become a message; who sends no end of it is not waited for."""
    kind, space, _ = bytes(held[:64]).removesuffix(b"\r").partition(b" ")
    if kind not in KINDS if space else not any(name.startswith(kind) for name in KINDS):
        return ProtocolViolation(f"unknown kind {kind[:40].decode(errors='replace')!r}")
    if found := NO_TEXT.search(held, 0, len(held) - held.endswith(b"\r")):
        return ProtocolViolation(f"no text at byte {found.start()}")
    return None


def number(value: float) -> str:
    """A figure without an exponent; what is above 0 never prints as 0."""
    if value <= 0:
        return "0"
    places = max(0, DIGITS - 1 - math.floor(math.log10(value)))
    text = f"{value:.{places}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


class Encoder:
    """Messages as lines. Proxies share parts, so each part of a reply is written out once."""

    def __init__(self, names: Names, ids: ServerIds) -> None:
        self.names, self.ids = names, ids

    def encode(self, orders: Sequence[ProxyUpdate]) -> Iterator[bytes]:
        written: dict[int, str] = {}
        for order in orders:
            for part in order.parts:
                if id(part) not in written:
                    written[id(part)] = self.part(part)
            bodies = [written[id(part)] for part in order.parts]
            yield self.message(order, bodies)

    def message(self, order: ProxyUpdate, bodies: list[str]) -> bytes:
        if order.eject or order.restore or not bodies:
            health = self.servers("eject", order.eject) + self.servers("restore", order.restore)
            bodies = [*bodies, "CONFIG" + health]
        last = "" if order.nonce is None else f" nonce_out={order.nonce}"
        return (" continued=1\r\n".join(bodies) + last + "\r\n").encode()

    def part(self, part: UpdatePart) -> str:
        words = ["CONFIG", "routes=" + "+".join(self.names.classes[place] for place in part.classes)]
        if part.complete:
            words.append("full=1")
        lines = [(self.ids.name(server), weight) for server, weight in part.lines]
        pairs = ",".join(f"{name}:{number(weight)}" for name, weight in lines if name is not None)
        if pairs:
            words.append("endpoints=" + pairs)
        if part.level is not None:
            words.append(f"admit={number(part.level[0])} policy={int(part.level[1])}")
        return " ".join(words)

    def servers(self, field: str, servers: tuple[Server, ...]) -> str:
        names = [name for server in servers if (name := self.ids.name(server)) is not None]
        return f" {field}=" + ",".join(names) if names else ""
