"""Tests of the encoding and decoding of the simulator protocol with literal frames."""

import struct

import pytest
import simulator_frames

from stackwheel import interface
from stackwheel.simulator.decoder import CreatePlanner, Decoder, StopPlanner
from stackwheel.simulator.encoder import encode_action, encode_fault
from stackwheel.simulator.errors import WireError
from stackwheel.simulator.framing import Frame, encode_reply
from stackwheel.simulator.wire import ActionCode, EventCode

ADDRESS = interface.ServerId(bytes.fromhex("0a9011f21b84"))


def decode(*records: bytes) -> list[tuple[int, object]]:
    frame = simulator_frames.frame_of(simulator_frames.batch(8412.25, 12, *records))
    return list(Decoder().decode_batch(frame).items)


def decode_one(hex_text: str) -> object:
    ((instance, event),) = decode(bytes.fromhex(hex_text.replace(" ", "")))
    assert instance == 3
    return event


def test_the_header_of_a_batch_is_decoded() -> None:
    batch = Decoder().decode_batch(Frame(bytes.fromhex("40c06e2000000000000000000000000000000001"), b""))
    assert (batch.clock, batch.number, batch.items) == (8412.25, 1, [])


@pytest.mark.parametrize(
    ("hex_text", "event"),
    [
        (
            "0a 00000027 0003 0000 0a124a07 1b5b 0000000e 00000001 4048200000000000 408f400000000000 01 40e00000",
            interface.LoadReport(0, interface.ServerId(bytes.fromhex("0a124a071b5b")), 14, 1, 48.25, 1000.0, (7.0,)),
        ),
        ("03 0000000a 0003 000000000000004d", interface.TimerFired(77)),
        ("08 00000004 0003 0029", interface.ProxyLeft(41)),
        ("07 0000000b 0003 0029 0000 40d00000 01", interface.ProxyJoined(41, 0, 6.5, True)),
        ("0b 00000016 0003 00000000 0029 00000009 409f400000000000 0000", interface.DemandReport(41, 0, 9, 0, 2000.0)),
        ("05 0000000a 0003 00000002 0002 6869", interface.GossipReceived(2, b"hi")),
        ("09 00000014 0003 0029 0000000000000007 4049000000000000", interface.Acknowledged(41, 7, 50.0)),
        (
            "04 00000017 0003 0a9011f21b84 0001 4024000000000000 01 40400000",
            interface.HealthCheckResult(ADDRESS, 1, 10.0, (3.0,)),
        ),
        ("0c 00000016 0003 00000001 0002 408f400000000000 00000005 0009", interface.KeyRangeDemand(9, 2, 5, 1, 1000.0)),
        ("0d 00000005 0003 0009 01", interface.KeyRangeGranted(9, True)),
        ("0e 0000000e 0003 3f800000 0009 0a9011f21b84", interface.KeyRangeWeight(9, ADDRESS, 1.0)),
        ("06 00000002 0003", StopPlanner()),
    ],
)
def test_events_are_decoded(hex_text: str, event: object) -> None:
    assert decode_one(hex_text) == event


def test_the_creation_of_a_planner_is_decoded() -> None:
    ((instance, event),) = decode(simulator_frames.create_planner(3, 9, "a=b"))
    assert (instance, event) == (3, CreatePlanner(9, b"a=b"))


def test_an_update_refers_to_the_last_definition_of_its_endpoint_list() -> None:
    records = [
        simulator_frames.endpoint_page(0, simulator_frames.entry(1)),
        simulator_frames.endpoint_update(0),
        simulator_frames.endpoint_page(
            0, simulator_frames.entry(2, zone=1, kind=1, availability=2, weight=1.5, started_at=6070.5)
        ),
        simulator_frames.endpoint_update(0, 3),
    ]
    (_, first), (_, second) = decode(*records)
    assert isinstance(first, interface.EndpointUpdate)
    assert isinstance(second, interface.EndpointUpdate)
    assert first.kind is interface.UpdateKind.CACHED
    assert first.entries[0].server == simulator_frames.server_id(1)
    entry = second.entries[0]
    assert second.kind is interface.UpdateKind.DELTA
    assert (entry.server, entry.zone, entry.kind, entry.weight, entry.started_at) == (
        simulator_frames.server_id(2),
        1,
        1,
        1.5,
        6070.5,
    )
    assert entry.availability is interface.Availability.DRAINING


def test_a_failed_update_needs_no_endpoint_list() -> None:
    ((_, event),) = decode(simulator_frames.endpoint_update(9, scope=2))
    assert event == interface.EndpointUpdate(interface.UpdateKind.FAILED, 1)


@pytest.mark.parametrize(
    ("action", "hex_text"),
    [
        (interface.SetWeight(117, ADDRESS, 0.75), "48 0000000e 0003 0075 0a9011f2 1b84 3f400000"),
        (interface.SetTimer(500.0, 77), "41 00000012 0003 407f400000000000 000000000000004d"),
        (interface.Log("two servers unknown"), "44 00000017 0003 0013 74776f207365727665727320756e6b6e6f776e"),
        (interface.SendGossip(b"hi 7"), "43 0000000a 0003 ffff 0004 68692037"),
        (interface.SendGossip(b"x", 1), "43 00000007 0003 0001 0001 78"),
        (
            interface.SetAdmission(117, (1,), 0.75, interface.Retry.ONCE_IF_NOT_EXECUTED),
            "4c 0000000b 0003 0075 0002 3f400000 01",
        ),
        (interface.AssignTable(41, 117, ()), "4b 00000008 0003 0029 0075 0000"),
        (interface.AssignTable(41, 117, (0, 2)), "4b 00000008 0003 0029 0075 0005"),
        (interface.SetEjection(ADDRESS, True), "4a 00000009 0003 0a9011f21b84 01"),
        (interface.ClearTable(117), "49 00000004 0003 0075"),
        (interface.AttachNonce(7, False), "4d 0000000b 0003 0000000000000007 00"),
        (interface.StartHealthCheck(ADDRESS), "42 00000008 0003 0a9011f21b84"),
        (interface.WatchEndpoints(), "46 00000003 0003 01"),
        (interface.FetchEndpoints(), "47 00000002 0003"),
    ],
)
def test_actions_are_encoded(action: interface.Action, hex_text: str) -> None:
    assert encode_action(3, action).hex() == hex_text.replace(" ", "")


def test_faults_and_replies_are_encoded() -> None:
    fault = encode_fault(3, "bad")
    assert fault == struct.pack(">BIHH3s", 69, 7, 3, 3, b"bad")
    assert encode_reply(12, [fault]) == struct.pack(">III", 1, len(fault), 12) + fault


@pytest.mark.parametrize(
    ("record", "message"),
    [
        (simulator_frames.record(99, b""), "unknown event code 99"),
        (simulator_frames.record(3, b"\0\3"), "field of 8 bytes at byte 7 runs past the record's end"),
        (simulator_frames.record(8, b"\0\3\0\1\0"), "1 unexpected bytes at the end of the record"),
        (simulator_frames.endpoint_update(4), "list 4 is not defined"),
        (simulator_frames.endpoint_update(0, scope=7), "unknown scope 7"),
        (simulator_frames.endpoint_page(16), "list number 16"),
        (simulator_frames.endpoint_page(0, simulator_frames.entry(1, availability=3)), "availability 3 is reserved"),
        (simulator_frames.record(15, b"\0\0\0\0\2"), "2 entries do not match"),
        (simulator_frames.record(13, b"\0\3\0\1\2"), "flag at byte"),
        (
            simulator_frames.record(4, b"\0\3" + simulator_frames.server_id(1) + struct.pack(">HdB", 8, 1.0, 0)),
            "outcome 8 is reserved",
        ),
    ],
)
def test_malformed_records_are_rejected(record: bytes, message: str) -> None:
    with pytest.raises(WireError, match=message):
        decode(record)


@pytest.mark.parametrize(
    ("header", "removed_bytes", "message"),
    [
        ((1.0, 15, 1, 1), 1, "but the header says"),
        ((1.0, 15, 2, 1), 0, "missing"),
        ((1.0, 15, 0, 1), 0, "after the last record"),
        ((float("nan"), 15, 1, 1), 0, "finite"),
        ((float("nan"), 0, 0, 1), 15, "finite"),
    ],
)
def test_headers_that_do_not_match_the_body_are_rejected(
    header: tuple[float, int, int, int], removed_bytes: int, message: str
) -> None:
    body = simulator_frames.timer_fired(1)
    assert len(body) == 15
    with pytest.raises(WireError, match=message):
        Decoder().decode_batch(Frame(struct.pack(">dIII", *header), body[: len(body) - removed_bytes]))


def test_record_codes_match_the_simulator_protocol() -> None:
    """Other tests refer to records by these enumerations, so only this test detects a changed number."""
    assert {code.name: code.value for code in EventCode} == {
        "CREATE_PLANNER": 1,
        "ENDPOINT_UPDATE": 2,
        "TIMER_FIRED": 3,
        "HEALTH_CHECK_RESULT": 4,
        "GOSSIP_RECEIVED": 5,
        "STOP_PLANNER": 6,
        "PROXY_JOINED": 7,
        "PROXY_LEFT": 8,
        "ACKNOWLEDGED": 9,
        "LOAD_REPORT": 10,
        "DEMAND_REPORT": 11,
        "KEY_RANGE_DEMAND": 12,
        "KEY_RANGE_GRANTED": 13,
        "KEY_RANGE_WEIGHT": 14,
        "ENDPOINT_PAGE": 15,
    }
    assert {code.name: code.value for code in ActionCode} == {
        "SET_TIMER": 65,
        "START_HEALTH_CHECK": 66,
        "SEND_GOSSIP": 67,
        "LOG": 68,
        "FAULT": 69,
        "WATCH_ENDPOINTS": 70,
        "FETCH_ENDPOINTS": 71,
        "SET_WEIGHT": 72,
        "CLEAR_TABLE": 73,
        "SET_EJECTION": 74,
        "ASSIGN_TABLE": 75,
        "SET_ADMISSION": 76,
        "ATTACH_NONCE": 77,
    }
