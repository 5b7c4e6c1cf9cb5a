"""Sequential, bounds-checked decoding of the fields of a record."""

from __future__ import annotations

import struct

from stackwheel.interface import ServerId
from stackwheel.simulator.errors import WireError
from stackwheel.simulator.framing import RECORD_HEADER, Record

SERVER_ID_BYTES = 6
UINT8 = struct.Struct(">B")
UINT16 = struct.Struct(">H")
UINT32 = struct.Struct(">I")
UINT64 = struct.Struct(">Q")
FLOAT32 = struct.Struct(">f")
FLOAT64 = struct.Struct(">d")


class FieldReader:
    """Reads the fields of a record in their order.

    Attributes:
        location: batch, index and event name of the record, for error messages.
    """

    def __init__(self, record: Record) -> None:
        self.location = record.location
        self._body = record.body
        self._offset = 0

    @property
    def remaining(self) -> int:
        """Number of unread bytes in the body."""
        return len(self._body) - self._offset

    def read_bytes(self, length: int) -> bytes:
        """Read `length` bytes; raises WireError if the record has fewer unread bytes."""
        end = self._offset + length
        if end > len(self._body):
            offset_in_record = self._offset + RECORD_HEADER.size
            raise WireError(
                self.location, f"field of {length} bytes at byte {offset_in_record} runs past the record's end"
            )
        field = self._body[self._offset : end]
        self._offset = end
        return field

    def read_uint8(self) -> int:
        """Read an unsigned integer of one byte."""
        return self._read_integer(UINT8)

    def read_uint16(self) -> int:
        """Read an unsigned integer of two bytes."""
        return self._read_integer(UINT16)

    def read_uint32(self) -> int:
        """Read an unsigned integer of four bytes."""
        return self._read_integer(UINT32)

    def read_uint64(self) -> int:
        """Read an unsigned integer of eight bytes."""
        return self._read_integer(UINT64)

    def read_float32(self) -> float:
        """Read a single-precision number."""
        return self._read_float(FLOAT32)

    def read_float64(self) -> float:
        """Read a double-precision number."""
        return self._read_float(FLOAT64)

    def read_server(self) -> ServerId:
        """Read a server id."""
        return ServerId(self.read_bytes(SERVER_ID_BYTES))

    def read_flag(self) -> bool:
        """Read a byte that is 0 or 1; raises WireError for other values."""
        value = self.read_uint8()
        if value > 1:
            offset_in_record = self._offset - 1 + RECORD_HEADER.size
            raise WireError(self.location, f"flag at byte {offset_in_record} is {value}, expected 0 or 1")
        return value == 1

    def read_load(self) -> tuple[float, ...]:
        """Read load columns: a count of one byte, then single-precision numbers."""
        count = self.read_uint8()
        layout = f">{count}f"
        return struct.unpack(layout, self.read_bytes(struct.calcsize(layout)))

    def expect_end(self) -> None:
        """Raise WireError if the record has unread bytes."""
        if self.remaining:
            raise WireError(self.location, f"{self.remaining} unexpected bytes at the end of the record")

    def _read_integer(self, layout: struct.Struct) -> int:
        return int(layout.unpack(self.read_bytes(layout.size))[0])

    def _read_float(self, layout: struct.Struct) -> float:
        return float(layout.unpack(self.read_bytes(layout.size))[0])
