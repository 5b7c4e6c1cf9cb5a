"""The registry stand-in's list: its entries, its generations and the changes since; no I/O, the time is handed in."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from stackwheel.scale.control import MadeChange
from stackwheel.scale.entries import TERMINATED, Entry

MAX_CHANGES_KEPT = (
    100_000  # kept for watches that resume: twice the largest fleet; who is further behind gets the whole
)


class RegistryList:
    """What the registry lists. Every entry is encoded once, whoever asks for it."""

    def __init__(self, entries: Iterable[Entry]) -> None:
        self.generation = 1
        self.encoder = msgspec.json.Encoder()
        self.entries: dict[str, Entry] = {}
        self.encoded: dict[str, bytes] = {}
        self.changes: deque[tuple[int, str, bytes]] = deque(maxlen=MAX_CHANGES_KEPT)
        self.made: list[MadeChange] = []  # all of a run: bounded by its schedule
        self.encoded_full_list: tuple[int, bytes] | None = None
        for entry in entries:
            self.put(entry)

    def put(self, entry: Entry) -> bytes:
        """List an entry, or take one that has terminated off; how it is encoded."""
        encoded = self.encoder.encode(entry)
        if entry.lifecycle == TERMINATED:
            self.entries.pop(entry.instance_id, None)
            self.encoded.pop(entry.instance_id, None)
        else:
            self.entries[entry.instance_id] = entry
            self.encoded[entry.instance_id] = encoded
        return encoded

    def apply(self, entries: Iterable[Entry], now: float) -> bytes:
        """Change entries as one generation; the line that tells it. `now`: s on the monotonic clock."""
        self.generation += 1
        encoded_changes = []
        for entry in entries:
            encoded = self.put(entry)
            encoded_changes.append(encoded)
            self.changes.append((self.generation, entry.instance_id, encoded))
            self.made.append(MadeChange(entry.instance_id, entry.lifecycle, entry.started_at_ms, self.generation, now))
        return self.document(False, encoded_changes)

    def since(self, generation: int | None) -> bytes:
        """The line that tells what has changed after a generation, or the whole list where that is not known."""
        if generation is None or not self.knows(generation):
            return self.full_list()
        encoded_changes = {name: encoded for at, name, encoded in self.changes if at > generation}
        return self.document(False, encoded_changes.values())

    def knows(self, generation: int) -> bool:
        """Whether all changes after it are still kept."""
        oldest = self.changes[0][0] if self.changes else self.generation + 1
        return 0 < generation <= self.generation and (len(self.changes) < MAX_CHANGES_KEPT or oldest <= generation)

    def full_list(self) -> bytes:
        """The whole list as a line, encoded once a generation."""
        if self.encoded_full_list is None or self.encoded_full_list[0] != self.generation:
            self.encoded_full_list = self.generation, self.document(True, self.encoded.values())
        return self.encoded_full_list[1]

    def document(self, reset: bool, encoded: Iterable[bytes]) -> bytes:
        """One line of the published format from entries that are encoded already."""
        head = self.encoder.encode({"generation": self.generation, "reset": reset})
        return head[:-1] + b',"instances":[' + b",".join(encoded) + b"]}\n"
