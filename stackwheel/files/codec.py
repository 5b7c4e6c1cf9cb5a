"""The bytes of a file: a first line that names format and version, a body, a trailer with length and digests.

A file is used whole or not at all: whatever is cut, flipped, added, forged or of another kind is a `Refusal`
that says how far the reading had come. No I/O.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from stackwheel.files.records import DECODER, ENCODER, VERSION, Document

MAGIC = b"stackwheel-table"
SIZE_MOST = 16 << 20  # bytes of a file: 10,000 lines for each of 8 classes take 4 MiB
TRAILER = re.compile(
    rb"\nend length=([0-9]{1,10}) blake2b=([0-9a-f]{64})(?: key=([A-Za-z0-9._-]{1,64}) "
    rb"hmac-sha256=([0-9a-f]{64}))?\n\Z"
)
TRAILER_MOST = 300
KEY_LEAST = 16  # bytes of a key


class Stage(IntEnum):
    """How far the reading of a file had come when it was refused."""

    OPEN = 0  # it is no plain file, or can't be read
    SIZE = 1
    TRAILER = 2  # it has no end: half written, or another program's
    LENGTH = 3
    DIGEST = 4
    VERSION = 5
    KEY = 6  # it should be signed and is not, or by a key that is not valid
    SIGNATURE = 7
    CONTENT = 8  # whole and genuine, but it says what can't be
    ORDER = 9  # older than what is applied, or of an earlier life
    AGE = 10  # its time is over
    BASE = 11  # a change to what is not held
    TARGET = 12  # for another zone or forwarder


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a file is not used, in one line."""

    stage: Stage
    reason: str

    def __str__(self) -> str:
        return f"{self.stage.name.lower()}: {self.reason}"


@dataclass(frozen=True, slots=True)
class KeyRing:
    """Keys by id: files are signed with one and accepted with any; two at a time let them change in service."""

    keys: Mapping[str, bytes] = field(default_factory=dict)
    signing: str | None = None

    def __post_init__(self) -> None:
        if len(self.keys) > 2:
            raise ValueError(f"{len(self.keys)} keys are given, at most two are valid at a time")
        for name, key in self.keys.items():
            if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", name):
                raise ValueError(f"key id {name[:40]!r} is not of letters, digits, dots and dashes")
            if len(key) < KEY_LEAST:
                raise ValueError(f"key {name} has {len(key)} bytes, at least {KEY_LEAST} are needed")
        if self.signing is not None and self.signing not in self.keys:
            raise ValueError(f"signing key {self.signing} is not among the keys")

    @property
    def required(self) -> bool:
        return bool(self.keys)


NO_KEYS = KeyRing()


def encode(document: Document, keys: KeyRing = NO_KEYS) -> bytes:
    """A whole file of orders or of an answer."""
    return seal(ENCODER.encode(document), keys)


def seal(body: bytes, keys: KeyRing = NO_KEYS) -> bytes:
    """A body between first line and trailer. The keyed hash covers all before it, the trailer's length and digest
    included."""
    head = MAGIC + b" %d\n" % VERSION + body
    digest = hashlib.blake2b(head, digest_size=32).hexdigest().encode()
    end = b"\nend length=%d blake2b=%b" % (len(head), digest)
    if keys.signing is not None:
        sign = hmac.digest(keys.keys[keys.signing], head + end, "sha256").hex().encode()
        end += b" key=%b hmac-sha256=%b" % (keys.signing.encode(), sign)
    return head + end + b"\n"


def decode(data: bytes, keys: KeyRing = NO_KEYS) -> Document | Refusal:
    """The document of a file's bytes, or why it is not used."""
    body = unseal(data, keys)
    if isinstance(body, Refusal):
        return body
    try:
        return DECODER.decode(body)
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Refusal(Stage.CONTENT, str(error)[:200])


def unseal(data: bytes, keys: KeyRing = NO_KEYS) -> bytes | Refusal:
    """The body of a file that is whole and genuine."""
    if len(data) > SIZE_MOST:
        return Refusal(Stage.SIZE, f"{len(data)} bytes, at most {SIZE_MOST}")
    found = TRAILER.search(data, max(0, len(data) - TRAILER_MOST))
    if found is None:
        return Refusal(Stage.TRAILER, "no trailer: half written, or no table file" if data else "empty")
    head = data[: found.start()]
    if int(found[1]) != len(head):
        return Refusal(Stage.LENGTH, f"{len(head)} bytes before the trailer, which says {int(found[1])}")
    if not hmac.compare_digest(hashlib.blake2b(head, digest_size=32).hexdigest().encode(), found[2]):
        return Refusal(Stage.DIGEST, "the digest is another")
    first, newline, body = head.partition(b"\n")
    if not newline or first != MAGIC + b" %d" % VERSION:
        return Refusal(Stage.VERSION, f"begins with {first[:40]!r}, not {MAGIC.decode()} {VERSION}")
    if keys.required:
        if found[3] is None:
            return Refusal(Stage.KEY, "not signed, and a key is set")
        name = found[3].decode()
        if name not in keys.keys:
            return Refusal(Stage.KEY, f"signed with key {name!r}, which is not valid")
        signed = data[: data.rindex(b" key=", found.start())]
        if not hmac.compare_digest(hmac.digest(keys.keys[name], signed, "sha256").hex().encode(), found[4]):
            return Refusal(Stage.SIGNATURE, f"the signature is not of key {name!r}")
    return body
