"""Endpoint list of the discovery stand-ins: entries, generations and encoded deltas, without I/O or clock access."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from stackwheel.scale.control import MadeChange
from stackwheel.scale.entries import TERMINATED, Entry

# Enough for two changes of every server of a large fleet. A watch that resumes from before the oldest stored change
# receives the full list.
MAX_STORED_CHANGES = 100_000


@dataclass(frozen=True, slots=True)
class EncodedChange:
    """One changed entry in its encoded form."""

    generation: int
    name: str
    encoded: bytes


@dataclass(frozen=True, slots=True)
class EncodedList:
    """The full list of one generation in its encoded form."""

    generation: int
    line: bytes


class RegistryList:
    """The listed entries and their changes; each version of an entry is encoded only once."""

    def __init__(self, entries: Iterable[Entry]) -> None:
        self.generation = 1
        self.encoder = msgspec.json.Encoder()
        self.entries: dict[str, Entry] = {}
        self.encoded_by_name: dict[str, bytes] = {}
        self.changes: deque[EncodedChange] = deque(maxlen=MAX_STORED_CHANGES)
        self.made_changes: list[MadeChange] = []  # Its length is limited by the schedule of the run.
        self.encoded_full_list: EncodedList | None = None
        for entry in entries:
            self.put(entry)

    def put(self, entry: Entry) -> bytes:
        """Add or replace an entry, or remove one that has terminated, and return the encoded entry."""
        encoded = self.encoder.encode(entry)
        if entry.lifecycle == TERMINATED:
            self.entries.pop(entry.instance_id, None)
            self.encoded_by_name.pop(entry.instance_id, None)
        else:
            self.entries[entry.instance_id] = entry
            self.encoded_by_name[entry.instance_id] = encoded
        return encoded

    def apply(self, entries: Iterable[Entry], now: float) -> bytes:
        """Apply changed entries as one generation and return the encoded delta. `now` is the monotonic time in s."""
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
        """Encode each server's last change after a generation, or the full list if a change is no longer stored."""
        if generation is None or not self.stores_changes_since(generation):
            return self.encode_full_list()
        changed = {change.name: change.encoded for change in self.changes if change.generation > generation}
        return self.encode_line(False, changed.values())

    def stores_changes_since(self, generation: int) -> bool:
        """Return whether all changes after a generation are still stored."""
        oldest = self.changes[0].generation if self.changes else self.generation + 1
        return 0 < generation <= self.generation and (len(self.changes) < MAX_STORED_CHANGES or oldest <= generation)

    def encode_full_list(self) -> bytes:
        """Return the full list as one line, which is encoded once per generation."""
        if self.encoded_full_list is None or self.encoded_full_list.generation != self.generation:
            self.encoded_full_list = EncodedList(self.generation, self.encode_line(True, self.encoded_by_name.values()))
        return self.encoded_full_list.line

    def encode_line(self, reset: bool, encoded: Iterable[bytes]) -> bytes:
        """Combine encoded entries into one line of the discovery protocol."""
        head = self.encoder.encode({"generation": self.generation, "reset": reset})
        return head[:-1] + b',"instances":[' + b",".join(encoded) + b"]}\n"
