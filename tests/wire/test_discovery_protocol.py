"""Parsing of endpoint lists: valid documents, invalid documents, and malformed entries."""

import json
import re

import pytest
from fake_services import config

from stackwheel.endpoints import Instance
from stackwheel.errors import InvalidInputError
from stackwheel.interface import Availability
from stackwheel.service.config import read_config
from stackwheel.wire.discovery_protocol import parse_endpoint_list, read_endpoint_list

VALID = (
    b'{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"h:1","zone":"a","machineType":"m2",'
    b'"cell":3,"lifecycle":"terminating","weight":1.5,"startedAtMs":12.5,"later":[]}]}'
)


def test_endpoint_list_is_parsed() -> None:
    endpoints = parse_endpoint_list(VALID)
    assert (endpoints.generation, endpoints.complete) == (43, False)
    assert endpoints.instances == (Instance("s-1", "h:1", "a", "m2", 3, Availability.DRAINING, 1.5, 12.5),)
    assert Availability.DRAINING == 2


@pytest.mark.parametrize(
    ("original", "replacement"),
    [
        (b"43", b"-1"),
        (b"43", b'"x"'),
        (b"43", b"true"),
        (b"false", b"0"),
        (b"}]}", b""),
        (VALID, b"[]"),
        (VALID, b""),
        (VALID, b"\xff"),
        (VALID, b"[" * 100_000),
    ],
)
def test_invalid_document_raises_invalid_input_error(original: bytes, replacement: bytes) -> None:
    with pytest.raises(InvalidInputError):
        parse_endpoint_list(VALID.replace(original, replacement))


@pytest.mark.parametrize(
    ("original", "replacement", "reason"),
    [
        (b"43", b"-1", "generation: negative: '-1'"),
        (b"43", b'"x"', "generation: expected an integer, found str"),
        (b"false", b"0", "reset: expected true or false, found int"),
        (b'"reset":false,', b"", "reset: missing"),
        (b'"instances"', b'"servers"', "instances: missing"),
        (VALID, b"[]", "expected an object, found list"),
        (VALID, b"", "not JSON: Expecting value"),
    ],
)
def test_error_of_invalid_document_names_field_and_value(original: bytes, replacement: bytes, reason: str) -> None:
    with pytest.raises(InvalidInputError, match=re.escape(reason)):
        parse_endpoint_list(VALID.replace(original, replacement))


@pytest.mark.parametrize(
    ("original", "replacement", "unreadable_name"),
    [
        (b'"s-1"', b'""', ""),
        (b'"s-1"', b"7", ""),
        (b'"s-1"', b'"s 1"', "s 1"),
        (b'"s-1"', b'"s,1"', "s,1"),
        (b"terminating", b"resting", "s-1"),
        (b"1.5", b"NaN", "s-1"),
        (b"1.5", b"-1", "s-1"),
        (b"12.5", b"Infinity", "s-1"),
        (b'"cell":3', b'"cell":[]', "s-1"),
        (b'"zone"', b'"z"', "s-1"),
        (b'"h:1"', b"null", "s-1"),
        (b'{"instanceId"', b'7,{"instanceId"', ""),
    ],
)
def test_malformed_entry_is_skipped_and_reported(original: bytes, replacement: bytes, unreadable_name: str) -> None:
    """A malformed entry must not invalidate the list, and its name must be reported in `unreadable`."""
    valid_entry = b'{"instanceId":"s-0","hostPort":"h:1","zone":"a","lifecycle":"in_service"}'
    data = VALID.replace(original, replacement).replace(b"]}]}", b"]}," + valid_entry + b"]}")
    endpoints = parse_endpoint_list(data)
    names = {instance.name for instance in endpoints.instances}
    assert endpoints.unreadable == {unreadable_name}
    assert "s-0" in names
    assert ("s-1" in names) == (original == b'{"instanceId"')


@pytest.mark.parametrize(
    ("original", "replacement", "reason"),
    [
        (
            b'"s-1"',
            b'"s 1"',
            "list 43: entry 0 ('s 1'): instanceId: empty, or with a space, comma or control character: 's 1'",
        ),
        (
            b"terminating",
            b"resting",
            "list 43: entry 0 ('s-1'): lifecycle: not one of in_service, terminating, terminated",
        ),
        (b"1.5", b"-1", "list 43: entry 0 ('s-1'): weight: not a finite, non-negative number: '-1'"),
        (b'"zone"', b'"z"', "list 43: entry 0 ('s-1'): zone: missing"),
        (b'"h:1"', b"null", "list 43: entry 0 ('s-1'): hostPort: expected a string, found NoneType"),
        (b'{"instanceId"', b'7,{"instanceId"', "list 43: entry 0 ('None'): expected an object, found int"),
    ],
)
def test_error_of_malformed_entry_names_entry_field_and_value(original: bytes, replacement: bytes, reason: str) -> None:
    errors: list[InvalidInputError] = []
    read_endpoint_list(json.loads(VALID.replace(original, replacement)), errors.append)
    assert len(errors) == 1
    assert str(errors[0]).startswith(reason)


def test_malformed_entry_in_configured_list_is_rejected() -> None:
    document = config("127.0.0.1:1", known={"generation": 1, "reset": True, "instances": [{"instanceId": "s-0"}]})
    with pytest.raises(ValueError, match="known: list 1: entry 0"):
        read_config(document)
