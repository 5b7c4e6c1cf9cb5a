"""A proxy that is served by files, as its planner knows it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from stackwheel.files.content import TableContent, positive_lines
from stackwheel.files.records import Incarnation, TableLevel
from stackwheel.interface import ServerId
from stackwheel.settings import ConfiguredNames
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart

NameOf = Callable[[ServerId], str | None]  # the name of a server's id, where it is known


class FileConnection:
    """The connection of a proxy that is served by files: only its identity counts."""

    def __init__(self, proxy: int) -> None:
        self.proxy = proxy

    def __str__(self) -> str:
        return f"proxy {self.proxy} by files"

    def on_superseded(self) -> None:
        """Another transport carries the stream now; status files are ignored until that one ends."""

    def on_attached(self) -> None:
        """Readers poll their folders: there is nothing to resume."""


@dataclass(slots=True)
class FileProxy:
    """A proxy, what it has been sent and what it has acknowledged.

    Attributes:
        proxy: its number.
        zone: name of its zone.
        connection: stands for its stream.
        incarnation: of its process.
        sequence: of its newest status.
        last_received_at: when that came, Unix ms.
        content: what its files say in the end.
        ejected: servers it must not use, in the order of their ejection.
        nonces: those to be acknowledged, with the sequence of the file that carries each, once there is one.
        updated: complete tables have been sent to it.
    """

    proxy: int
    zone: str
    connection: FileConnection
    incarnation: Incarnation
    sequence: int
    last_received_at: float
    content: TableContent = field(default_factory=TableContent)
    ejected: dict[str, None] = field(default_factory=dict)
    nonces: dict[int, int | None] = field(default_factory=dict)
    updated: bool = False

    def apply(self, update: ProxyUpdate, names: ConfiguredNames, name_of: NameOf) -> None:
        """Bring the content to what an update says; servers without a name are left out."""
        for part in update.parts:
            self._apply_part(part, names, name_of)
        for server in update.eject:
            name = name_of(server)
            if name is not None:
                self.ejected[name] = None
        for server in update.restore:
            self.ejected.pop(name_of(server) or "", None)
        self.content.ejected = tuple(self.ejected)
        if update.nonce is not None:
            self.nonces[update.nonce] = None

    def _apply_part(self, part: UpdatePart, names: ConfiguredNames, name_of: NameOf) -> None:
        content = self.content
        lines = {name: weight for server, weight in part.lines if (name := name_of(server)) is not None}
        for number in part.classes:
            request_class = names.classes[number]
            former = {} if part.complete else content.tables.get(request_class, {})
            content.tables[request_class] = positive_lines({**former, **lines})
            if part.level is not None:
                admitted, retry = part.level
                content.levels[request_class] = TableLevel(admitted, int(retry))
            elif part.complete:
                content.levels[request_class] = None
            self.updated |= part.complete

    @property
    def has_unsent_nonce(self) -> bool:
        """Whether a nonce waits for a file that carries it."""
        return any(sequence is None for sequence in self.nonces.values())

    def assign_nonces(self, sequence: int) -> None:
        """The file of that number carries the nonces that none carried before."""
        self.nonces = {nonce: carrier or sequence for nonce, carrier in self.nonces.items()}

    def reset_nonces(self) -> None:
        """No file of the planner's present incarnation carries any nonce."""
        self.nonces = dict.fromkeys(self.nonces)

    def acknowledge(self, sequence: int) -> int | None:
        """Remove the nonces up to an applied file; the newest one acknowledges all before it."""
        acknowledged = [nonce for nonce, carrier in self.nonces.items() if carrier is not None and carrier <= sequence]
        for nonce in acknowledged:
            del self.nonces[nonce]
        return acknowledged[-1] if acknowledged else None
