"""The list of the discovery stand-ins: entries, generations and changes; no I/O, the time is a parameter."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from stackwheel.scale.control import MadeChange
from stackwheel.scale.entries import TERMINATED, Entry

# Changes that are kept for watches that resume: two for each server of a large fleet. A watch that is further behind
# gets the full list.
MAX_STORED_CHANGES = 100_000


@dataclass(frozen=True, slots=True)
class EncodedChange:
    """One changed entry, as it is sent."""

    generation: int
    name: str
    encoded: bytes


@dataclass(frozen=True, slots=True)
class EncodedList:
    """The full list of a generation, as it is sent."""

    generation: int
    line: bytes


class RegistryList:
    """The entries that are listed, and their changes. Every entry is encoded only once."""

    def __init__(self, entries: Iterable[Entry]) -> None:
        self.generation = 1
        self.encoder = msgspec.json.Encoder()
        self.entries: dict[str, Entry] = {}
        self.encoded_by_name: dict[str, bytes] = {}
        self.changes: deque[EncodedChange] = deque(maxlen=MAX_STORED_CHANGES)
        self.made_changes: list[MadeChange] = []  # all changes of a run, whose number its schedule bounds
        self.encoded_full_list: EncodedList | None = None
        for entry in entries:
            self.put(entry)

    def put(self, entry: Entry) -> bytes:
        """Add or replace an entry, or remove one that has terminated; the encoded entry."""
        encoded = self.encoder.encode(entry)
        if entry.lifecycle == TERMINATED:
            self.entries.pop(entry.instance_id, None)
            self.encoded_by_name.pop(entry.instance_id, None)
        else:
            self.entries[entry.instance_id] = entry
            self.encoded_by_name[entry.instance_id] = encoded
        return encoded

    def apply(self, entries: Iterable[Entry], now: float) -> bytes:
        """Change entries as one generation; the line for the watches. `now`: s on the monotonic clock."""
        self.generation += 1
        encoded_entries = []
        for entry in entries:
            encoded = self.put(entry)
            encoded_entries.append(encoded)
            self.changes.append(EncodedChange(self.generation, entry.instance_id, encoded))
            self.made_changes.append(
                MadeChange(entry.instance_id, entry.lifecycle, entry.started_at_ms, self.generation, now)
            )
        return self.encode_line(False, encoded_entries)

    def encode_since(self, generation: int | None) -> bytes:
        """A line with the last change of each server after a generation; the full list if those are not all kept."""
        if generation is None or not self.stores_changes_since(generation):
            return self.encode_full_list()
        changed = {change.name: change.encoded for change in self.changes if change.generation > generation}
        return self.encode_line(False, changed.values())

    def stores_changes_since(self, generation: int) -> bool:
        """Whether all changes after a generation are still kept."""
        oldest = self.changes[0].generation if self.changes else self.generation + 1
        return 0 < generation <= self.generation and (len(self.changes) < MAX_STORED_CHANGES or oldest <= generation)

    def encode_full_list(self) -> bytes:
        """The full list as a line, encoded once for each generation."""
        if self.encoded_full_list is None or self.encoded_full_list.generation != self.generation:
            self.encoded_full_list = EncodedList(self.generation, self.encode_line(True, self.encoded_by_name.values()))
        return self.encoded_full_list.line

    def encode_line(self, reset: bool, encoded: Iterable[bytes]) -> bytes:
        """One line of the published format, made of encoded entries."""
        head = self.encoder.encode({"generation": self.generation, "reset": reset})
        return head[:-1] + b',"instances":[' + b",".join(encoded) + b"]}\n"
