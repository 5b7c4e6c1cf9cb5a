"""The planner's state of a proxy that is served by files."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from stackwheel.files.content import TableContent, positive_lines
from stackwheel.files.records import Incarnation, TableLevel
from stackwheel.interface import ServerId
from stackwheel.settings import ConfiguredNames
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart

ServerNameLookup = Callable[[ServerId], str | None]
"""Returns the name of a server, or None if it is unknown."""


class FileConnection:
    """Stands for the connection of a proxy that is served by files; distinguishes the proxy's incarnations."""

    def __init__(self, proxy: int) -> None:
        self.proxy = proxy

    def __str__(self) -> str:
        return f"proxy {self.proxy} by files"

    def on_superseded(self) -> None:
        """Do nothing when another connection becomes the proxy's stream; the planner actor then ignores this one."""

    def on_attached(self) -> None:
        """Do nothing when this connection becomes the proxy's stream.

        The proxy polls its folders for table files, so that no transfer has to be started or resumed.
        """


@dataclass(slots=True)
class FileProxy:
    """State of a proxy: the tables to publish to it and the nonces that it has not acknowledged.

    Attributes:
        proxy: number of the proxy.
        zone: name of the proxy's zone.
        connection: stands for the connection of the proxy's stream.
        incarnation: incarnation of the proxy.
        sequence: sequence number of its newest status.
        last_received_at: time at which that status was received, Unix ms.
        content: tables to publish to the proxy.
        ejected: names of the servers that the proxy must not use, in the order of their ejection.
        nonces: unacknowledged nonces, with the sequence number of the update that contains each; None if none does
            yet.
        has_complete_tables: whether the proxy has been assigned complete tables.
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
    has_complete_tables: bool = False

    def apply(self, update: ProxyUpdate, names: ConfiguredNames, server_name: ServerNameLookup) -> None:
        """Apply an update of the planner to the content; servers without a known name are skipped."""
        for part in update.parts:
            self._apply_part(part, names, server_name)
        for server in update.eject:
            name = server_name(server)
            if name is not None:
                self.ejected[name] = None
        for server in update.restore:
            self.ejected.pop(server_name(server) or "", None)
        self.content.ejected = tuple(self.ejected)
        if update.nonce is not None:
            self.nonces[update.nonce] = None

    def _apply_part(self, part: UpdatePart, names: ConfiguredNames, server_name: ServerNameLookup) -> None:
        content = self.content
        lines = {name: weight for server, weight in part.lines if (name := server_name(server)) is not None}
        for number in part.classes:
            request_class = names.classes[number]
            old_lines = {} if part.complete else content.tables.get(request_class, {})
            content.tables[request_class] = positive_lines({**old_lines, **lines})
            if part.level is not None:
                admitted, retry = part.level
                content.levels[request_class] = TableLevel(admitted, int(retry))
            elif part.complete:
                content.levels[request_class] = None
            self.has_complete_tables |= part.complete

    @property
    def has_unsent_nonce(self) -> bool:
        """Whether a nonce is not contained in any update yet."""
        return any(sequence is None for sequence in self.nonces.values())

    def assign_nonces(self, sequence: int) -> None:
        """Assign the nonces that no update contains to the update with this sequence number."""
        self.nonces = {nonce: assigned or sequence for nonce, assigned in self.nonces.items()}

    def reset_nonces(self) -> None:
        """Mark all nonces as not contained in any update of the planner's current incarnation."""
        self.nonces = dict.fromkeys(self.nonces)

    def acknowledge(self, sequence: int) -> int | None:
        """Remove the nonces of all updates up to `sequence`.

        Returns:
            The newest of these nonces, which also acknowledges the earlier ones; None if there are none.
        """
        acknowledged = [
            nonce for nonce, assigned in self.nonces.items() if assigned is not None and assigned <= sequence
        ]
        for nonce in acknowledged:
            del self.nonces[nonce]
        return acknowledged[-1] if acknowledged else None
