"""Encodes and decodes the bytes of a table file, without I/O.

A file consists of a first line with format and version, a body, and a trailer with length, digest and optional
signature. A file that is truncated, corrupt, forged or of another format raises `FileRejectedError` with the check
that failed.
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
from stackwheel.files.records import DECODER, ENCODER, FORMAT_VERSION, Document

Decoded = TypeVar("Decoded")

MAGIC = b"stackwheel-table"
MAX_FILE_BYTES = 16 << 20
TRAILER = re.compile(
    rb"\nend length=([0-9]{1,10}) blake2b=([0-9a-f]{64})(?: key=([A-Za-z0-9._-]{1,64}) "
    rb"hmac-sha256=([0-9a-f]{64}))?\n\Z"
)
MAX_TRAILER_BYTES = 300  # a trailer with the longest key id has 242
DIGEST_BYTES = 32
MIN_KEY_BYTES = 16
MAX_KEYS = 2  # the old and the new key during a rotation
KEY_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
MAX_REASON_CHARACTERS = 200  # maximum length of a decoder's message in an error


@dataclass(frozen=True, slots=True)
class KeyRing:
    """Signing keys: files are signed with one of them, and a signature by any of them is accepted.

    Attributes:
        keys: at most two keys, by id; if empty, files need no signature.
        signing: id of the key to sign with; None to write files without a signature.

    Raises:
        ValueError: there are too many keys, an id is invalid, a key is too short, or the signing key is not in `keys`.
    """

    keys: Mapping[str, bytes] = field(default_factory=dict)
    signing: str | None = None

    def __post_init__(self) -> None:
        if len(self.keys) > MAX_KEYS:
            raise ValueError(f"{len(self.keys)} keys are given, at most two are allowed")
        for name, key in self.keys.items():
            if not KEY_ID.fullmatch(name):
                raise ValueError(
                    f"key id {name[:40]!r} does not consist of 1 to 64 letters, digits, dots, dashes and underscores"
                )
            if len(key) < MIN_KEY_BYTES:
                raise ValueError(f"key {name} has {len(key)} bytes, at least {MIN_KEY_BYTES} are required")
        if self.signing is not None and self.signing not in self.keys:
            raise ValueError(f"signing key {self.signing} is not among the keys")

    @property
    def is_signature_required(self) -> bool:
        """Whether unsigned files are rejected."""
        return bool(self.keys)


NO_KEYS = KeyRing()


def encode(document: Document, keys: KeyRing = NO_KEYS) -> bytes:
    """Encode a document as a file; equal documents result in equal bytes."""
    return seal(ENCODER.encode(document), keys)


def seal(body: bytes, keys: KeyRing = NO_KEYS) -> bytes:
    """Add the first line and the trailer to a body.

    The signature covers all bytes before it, including the length and the digest in the trailer.
    """
    head = MAGIC + b" %d\n" % FORMAT_VERSION + body
    trailer = b"\nend length=%d blake2b=%b" % (len(head), _digest(head))
    if keys.signing is not None:
        signature = _signature(keys.keys[keys.signing], head + trailer)
        trailer += b" key=%b hmac-sha256=%b" % (keys.signing.encode(), signature)
    return head + trailer + b"\n"


def decode(data: bytes, keys: KeyRing = NO_KEYS) -> Document:
    """Decode the document in a file.

    Raises:
        FileRejectedError: the file is incomplete, corrupt or not signed as required, or the document is invalid.
    """
    return decode_body(DECODER, unseal(data, keys))


def decode_body(decoder: msgspec.json.Decoder[Decoded], body: bytes) -> Decoded:
    """Decode the record in a body; raises FileRejectedError with `Stage.CONTENT` if it is invalid."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise FileRejectedError(Stage.CONTENT, str(error)[:MAX_REASON_CHARACTERS]) from error


def unseal(data: bytes, keys: KeyRing = NO_KEYS) -> bytes:
    """Check the trailer and the signature of a file and return its body.

    Raises:
        FileRejectedError: the file is incomplete, corrupt or not signed as required.
    """
    if len(data) > MAX_FILE_BYTES:
        raise FileRejectedError(Stage.SIZE, f"the file has {len(data)} bytes, at most {MAX_FILE_BYTES} are allowed")
    trailer = TRAILER.search(data, max(0, len(data) - MAX_TRAILER_BYTES))
    if trailer is None:
        raise FileRejectedError(
            Stage.TRAILER, "no trailer: incomplete, or not a table file" if data else "the file is empty"
        )
    head = data[: trailer.start()]
    body = _checked_body(head, trailer)
    if keys.is_signature_required:
        _check_signature(data, trailer, keys)
    return body


def _checked_body(head: bytes, trailer: re.Match[bytes]) -> bytes:
    length = int(trailer[1])
    if length != len(head):
        raise FileRejectedError(Stage.LENGTH, f"{len(head)} bytes precede the trailer, which states {length}")
    if not hmac.compare_digest(_digest(head), trailer[2]):
        raise FileRejectedError(Stage.DIGEST, "the digest in the trailer does not match the content")
    first_line, newline, body = head.partition(b"\n")
    if not newline or first_line != MAGIC + b" %d" % FORMAT_VERSION:
        raise FileRejectedError(
            Stage.VERSION, f"first line is {first_line[:40]!r}, expected {MAGIC.decode()} {FORMAT_VERSION}"
        )
    return body


def _check_signature(data: bytes, trailer: re.Match[bytes], keys: KeyRing) -> None:
    if trailer[3] is None:
        raise FileRejectedError(Stage.KEY, "the file is not signed, but a signature is required")
    name = trailer[3].decode()
    if name not in keys.keys:
        raise FileRejectedError(Stage.KEY, f"signed with key {name!r}, which is not among the accepted keys")
    signed = data[: data.rindex(b" key=", trailer.start())]
    if not hmac.compare_digest(_signature(keys.keys[name], signed), trailer[4]):
        raise FileRejectedError(Stage.SIGNATURE, f"the signature does not match key {name!r}")


def _digest(head: bytes) -> bytes:
    return hashlib.blake2b(head, digest_size=DIGEST_BYTES).hexdigest().encode()


def _signature(key: bytes, signed: bytes) -> bytes:
    return hmac.digest(key, signed, "sha256").hex().encode()
