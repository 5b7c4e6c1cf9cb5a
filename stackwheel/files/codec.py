"""The bytes of a table file: a first line with format and version, a body, a trailer with length and digests. No I/O.

A file is used as a whole or not at all: whatever is cut, flipped, appended, forged or of another kind raises
`FileRejectedError` with the check that failed.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from stackwheel.files.errors import FileRejectedError, Stage
from stackwheel.files.records import DECODER, ENCODER, VERSION, Document

Decoded = TypeVar("Decoded")

MAGIC = b"stackwheel-table"
MAX_FILE_BYTES = 16 << 20  # 10,000 lines for each of 8 classes take 4 MiB
TRAILER = re.compile(
    rb"\nend length=([0-9]{1,10}) blake2b=([0-9a-f]{64})(?: key=([A-Za-z0-9._-]{1,64}) "
    rb"hmac-sha256=([0-9a-f]{64}))?\n\Z"
)
MAX_TRAILER_BYTES = 300  # with the longest key id 242
DIGEST_BYTES = 32
MIN_KEY_BYTES = 16
MAX_KEYS = 2  # so that keys can be rotated in service
KEY_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
MAX_REASON_LENGTH = 200  # characters of a decoder's message that go into an error


@dataclass(frozen=True, slots=True)
class KeyRing:
    """Signing keys by id: files are signed with one of them and accepted with any.

    Attributes:
        keys: at most two; without any, files need no signature.
        signing: id of the key to sign with, or None.

    Raises:
        ValueError: too many keys, a bad id, a short key, or an unknown signing key.
    """

    keys: Mapping[str, bytes] = field(default_factory=dict)
    signing: str | None = None

    def __post_init__(self) -> None:
        if len(self.keys) > MAX_KEYS:
            raise ValueError(f"{len(self.keys)} keys are given, at most two are valid at a time")
        for name, key in self.keys.items():
            if not KEY_ID.fullmatch(name):
                raise ValueError(f"key id {name[:40]!r} is not of letters, digits, dots and dashes")
            if len(key) < MIN_KEY_BYTES:
                raise ValueError(f"key {name} has {len(key)} bytes, at least {MIN_KEY_BYTES} are needed")
        if self.signing is not None and self.signing not in self.keys:
            raise ValueError(f"signing key {self.signing} is not among the keys")

    @property
    def required(self) -> bool:
        """Whether files must be signed."""
        return bool(self.keys)


NO_KEYS = KeyRing()


def encode(document: Document, keys: KeyRing = NO_KEYS) -> bytes:
    """The file of a document; the same document gives the same bytes."""
    return seal(ENCODER.encode(document), keys)


def seal(body: bytes, keys: KeyRing = NO_KEYS) -> bytes:
    """A body between first line and trailer.

    The keyed hash covers all that precedes it, including the trailer's length and digest.
    """
    head = MAGIC + b" %d\n" % VERSION + body
    trailer = b"\nend length=%d blake2b=%b" % (len(head), _digest(head))
    if keys.signing is not None:
        signature = _signature(keys.keys[keys.signing], head + trailer)
        trailer += b" key=%b hmac-sha256=%b" % (keys.signing.encode(), signature)
    return head + trailer + b"\n"


def decode(data: bytes, keys: KeyRing = NO_KEYS) -> Document:
    """The document of a file.

    Raises:
        FileRejectedError: the file is not complete, not genuine, or holds no valid document.
    """
    return decode_body(DECODER, unseal(data, keys))


def decode_body(decoder: msgspec.json.Decoder[Decoded], body: bytes) -> Decoded:
    """The record of a body, or FileRejectedError at the content stage."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise FileRejectedError(Stage.CONTENT, str(error)[:MAX_REASON_LENGTH]) from error


def unseal(data: bytes, keys: KeyRing = NO_KEYS) -> bytes:
    """The body of a file.

    Raises:
        FileRejectedError: the file is not complete or not genuine.
    """
    if len(data) > MAX_FILE_BYTES:
        raise FileRejectedError(Stage.SIZE, f"{len(data)} bytes, at most {MAX_FILE_BYTES}")
    trailer = TRAILER.search(data, max(0, len(data) - MAX_TRAILER_BYTES))
    if trailer is None:
        raise FileRejectedError(Stage.TRAILER, "no trailer: half written, or no table file" if data else "empty")
    head = data[: trailer.start()]
    body = _checked_body(head, trailer)
    if keys.required:
        _check_signature(data, trailer, keys)
    return body


def _checked_body(head: bytes, trailer: re.Match[bytes]) -> bytes:
    length = int(trailer[1])
    if length != len(head):
        raise FileRejectedError(Stage.LENGTH, f"{len(head)} bytes before the trailer, which says {length}")
    if not hmac.compare_digest(_digest(head), trailer[2]):
        raise FileRejectedError(Stage.DIGEST, "the digest is another")
    first_line, newline, body = head.partition(b"\n")
    if not newline or first_line != MAGIC + b" %d" % VERSION:
        raise FileRejectedError(Stage.VERSION, f"begins with {first_line[:40]!r}, not {MAGIC.decode()} {VERSION}")
    return body


def _check_signature(data: bytes, trailer: re.Match[bytes], keys: KeyRing) -> None:
    if trailer[3] is None:
        raise FileRejectedError(Stage.KEY, "not signed, and a key is set")
    name = trailer[3].decode()
    if name not in keys.keys:
        raise FileRejectedError(Stage.KEY, f"signed with key {name!r}, which is not valid")
    signed = data[: data.rindex(b" key=", trailer.start())]
    if not hmac.compare_digest(_signature(keys.keys[name], signed), trailer[4]):
        raise FileRejectedError(Stage.SIGNATURE, f"the signature is not of key {name!r}")


def _digest(head: bytes) -> bytes:
    return hashlib.blake2b(head, digest_size=DIGEST_BYTES).hexdigest().encode()


def _signature(key: bytes, signed: bytes) -> bytes:
    return hmac.digest(key, signed, "sha256").hex().encode()
