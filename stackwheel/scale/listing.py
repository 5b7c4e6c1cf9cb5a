"""The registry stand-in's list: its entries, its generations and the changes since; no I/O, the time is handed in."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from stackwheel.scale.control import MadeChange
from stackwheel.scale.entries import TERMINATED, Entry

CHANGES_MOST = 100_000  # kept for watches that resume: twice the largest fleet; who is further behind gets the whole


class RegistryList:
    """What the registry lists. Every entry is encoded once, whoever asks for it."""

    def __init__(self, entries: Iterable[Entry]) -> None:
        self.generation = 1
        self.encoder = msgspec.json.Encoder()
        self.entries: dict[str, Entry] = {}
        self.encoded: dict[str, bytes] = {}
        self.changes: deque[tuple[int, str, bytes]] = deque(maxlen=CHANGES_MOST)
        self.made: list[MadeChange] = []  # all of a run: bounded by its schedule
        self.whole: tuple[int, bytes] | None = None
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
        told = []
        for entry in entries:
            encoded = self.put(entry)
            told.append(encoded)
            self.changes.append((self.generation, entry.instance_id, encoded))
            self.made.append(MadeChange(entry.instance_id, entry.lifecycle, entry.started_at_ms, self.generation, now))
        return self.document(False, told)

    def since(self, generation: int | None) -> bytes:
        """The line that tells what has changed after a generation, or the whole list where that is not known."""
        if generation is None or not self.knows(generation):
            return self.whole_list()
        told = {name: encoded for at, name, encoded in self.changes if at > generation}
        return self.document(False, told.values())

    def knows(self, generation: int) -> bool:
        """Whether all changes after it are still kept."""
        oldest = self.changes[0][0] if self.changes else self.generation + 1
        return 0 < generation <= self.generation and (len(self.changes) < CHANGES_MOST or oldest <= generation)

    def whole_list(self) -> bytes:
        """The whole list as a line, encoded once a generation."""
        if self.whole is None or self.whole[0] != self.generation:
            self.whole = self.generation, self.document(True, self.encoded.values())
        return self.whole[1]

    def document(self, reset: bool, encoded: Iterable[bytes]) -> bytes:
        head = self.encoder.encode({"generation": self.generation, "reset": reset})
        return head[:-1] + b',"instances":[' + b",".join(encoded) + b"]}\n"
