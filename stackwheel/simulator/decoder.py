"""Decodes batches of the simulator protocol into events of the policy."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from stackwheel.interface import (
    Acknowledged,
    Availability,
    DemandReport,
    EndpointEntry,
    EndpointUpdate,
    Event,
    GossipReceived,
    HealthCheckResult,
    KeyRangeDemand,
    KeyRangeGranted,
    KeyRangeWeight,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    ServerId,
    TimerFired,
    UpdateKind,
)
from stackwheel.simulator.errors import WireError
from stackwheel.simulator.field_reader import FieldReader
from stackwheel.simulator.framing import Frame, parse_header, split_records
from stackwheel.simulator.wire import MAX_ENDPOINT_PAGE, MAX_HEALTH_CHECK_OUTCOME, UPDATE_KINDS, EventCode

ENDPOINT_ENTRY = struct.Struct(">6sHHHBfd")
"""Layout of an entry of an endpoint list: server id, zone, machine kind, cell, availability, weight, start time."""


@dataclass(frozen=True, slots=True)
class CreatePlanner:
    """A request to start or restart a planner instance.

    Attributes:
        seed: seed of the planner's random numbers.
        settings: encoded settings of the planner.
    """

    seed: int
    settings: bytes


@dataclass(frozen=True, slots=True)
class StopPlanner:
    """A request to stop a planner instance, without notice to the instance."""


Item: TypeAlias = CreatePlanner | StopPlanner | Event


class InstanceItem(NamedTuple):
    """A decoded record and the number of the planner instance to which it is addressed."""

    instance: int
    item: Item


@dataclass(frozen=True, slots=True)
class Batch:
    """The events at one point in simulated time.

    Attributes:
        clock: time on the planners' clock, ms.
        number: number of the batch.
        items: the decoded records in the order of the encoded batch.
    """

    clock: float
    number: int
    items: list[InstanceItem]


class Decoder:
    """Decodes frames into batches, and stores endpoint lists by the number with which updates refer to them."""

    def __init__(self) -> None:
        self._endpoint_pages: dict[int, tuple[EndpointEntry, ...]] = {}
        self._readers: dict[int, Callable[[FieldReader], Item]] = {
            EventCode.CREATE_PLANNER: read_create_planner,
            EventCode.ENDPOINT_UPDATE: self._read_endpoint_update,
            EventCode.TIMER_FIRED: read_timer_fired,
            EventCode.HEALTH_CHECK_RESULT: read_health_check_result,
            EventCode.GOSSIP_RECEIVED: read_gossip_received,
            EventCode.STOP_PLANNER: read_stop_planner,
            EventCode.PROXY_JOINED: read_proxy_joined,
            EventCode.PROXY_LEFT: read_proxy_left,
            EventCode.ACKNOWLEDGED: read_acknowledged,
            EventCode.LOAD_REPORT: read_load_report,
            EventCode.DEMAND_REPORT: read_demand_report,
            EventCode.KEY_RANGE_DEMAND: read_key_range_demand,
            EventCode.KEY_RANGE_GRANTED: read_key_range_granted,
            EventCode.KEY_RANGE_WEIGHT: read_key_range_weight,
        }

    def decode_batch(self, frame: Frame) -> Batch:
        """Decode a frame and store its endpoint lists, to which the records after them may refer.

        Raises:
            WireError: the frame or one of its records is malformed.
        """
        header = parse_header(frame)
        items: list[InstanceItem] = []
        for record in split_records(header, frame.body):
            reader = FieldReader(record)
            if record.code == EventCode.ENDPOINT_PAGE:
                self._read_endpoint_page(reader)
                continue
            instance = reader.read_uint16()
            items.append(InstanceItem(instance, self._readers[record.code](reader)))
            reader.expect_end()
        return Batch(header.clock, header.number, items)

    def _read_endpoint_page(self, reader: FieldReader) -> None:
        page = reader.read_uint8()
        count = reader.read_uint32()
        if page > MAX_ENDPOINT_PAGE:
            raise WireError(reader.location, f"list number {page} is over the maximum of {MAX_ENDPOINT_PAGE}")
        if count * ENDPOINT_ENTRY.size != reader.remaining:
            raise WireError(
                reader.location, f"{count} entries do not match the record's length of {reader.remaining} bytes"
            )
        self._endpoint_pages[page] = tuple(read_endpoint_entry(reader) for _ in range(count))

    def _read_endpoint_update(self, reader: FieldReader) -> Event:
        scope = reader.read_uint8()
        version = reader.read_uint64()
        page = reader.read_uint8()
        if scope not in UPDATE_KINDS:
            raise WireError(reader.location, f"unknown scope {scope}")
        kind = UPDATE_KINDS[scope]
        if kind is UpdateKind.FAILED:
            return EndpointUpdate(kind, version)
        if page not in self._endpoint_pages:
            raise WireError(reader.location, f"list {page} is not defined")
        return EndpointUpdate(kind, version, self._endpoint_pages[page])


def read_endpoint_entry(reader: FieldReader) -> EndpointEntry:
    """Read an entry of an endpoint list."""
    fields = ENDPOINT_ENTRY.unpack(reader.read_bytes(ENDPOINT_ENTRY.size))
    server, zone, kind, cell, availability, weight, started_at = fields
    if availability > max(Availability):
        raise WireError(reader.location, f"availability {availability} is reserved")
    return EndpointEntry(ServerId(server), zone, kind, cell, Availability(availability), weight, started_at)


def read_create_planner(reader: FieldReader) -> CreatePlanner:
    """Read the request to start a planner, with its seed and its encoded settings."""
    seed = reader.read_uint64()
    length = reader.read_uint32()
    return CreatePlanner(seed, reader.read_bytes(length))


def read_stop_planner(_reader: FieldReader) -> StopPlanner:
    """Read the request to stop a planner, a record without fields after the instance number."""
    return StopPlanner()


def read_timer_fired(reader: FieldReader) -> TimerFired:
    """Read the event that a timer has expired, with the timer's token."""
    return TimerFired(reader.read_uint64())


def read_health_check_result(reader: FieldReader) -> HealthCheckResult:
    """Read the result of a health check."""
    server = reader.read_server()
    outcome = reader.read_uint16()
    if outcome > MAX_HEALTH_CHECK_OUTCOME:
        raise WireError(reader.location, f"outcome {outcome} is reserved")
    elapsed = reader.read_float64()
    return HealthCheckResult(server, outcome, elapsed, reader.read_load())


def read_gossip_received(reader: FieldReader) -> GossipReceived:
    """Read a gossip datagram from a peer planner."""
    sender = reader.read_uint32()
    length = reader.read_uint16()
    return GossipReceived(sender, reader.read_bytes(length))


def read_proxy_joined(reader: FieldReader) -> ProxyJoined:
    """Read the event that a proxy has connected."""
    proxy = reader.read_uint16()
    zone = reader.read_uint16()
    expected_rate = reader.read_float32()
    return ProxyJoined(proxy, zone, expected_rate, reader.read_flag())


def read_proxy_left(reader: FieldReader) -> ProxyLeft:
    """Read the event that a proxy's connection has ended."""
    return ProxyLeft(reader.read_uint16())


def read_acknowledged(reader: FieldReader) -> Acknowledged:
    """Read a proxy's acknowledgement of an update."""
    proxy = reader.read_uint16()
    nonce = reader.read_uint64()
    return Acknowledged(proxy, nonce, reader.read_float64())


def read_load_report(reader: FieldReader) -> LoadReport:
    """Read a load report: measurements of one server by the proxies of one zone."""
    zone = reader.read_uint16()
    server = reader.read_server()
    attempts = reader.read_uint32()
    failures = reader.read_uint32()
    mean_latency = reader.read_float64()
    window = reader.read_float64()
    return LoadReport(zone, server, attempts, failures, mean_latency, window, reader.read_load())


def read_demand_report(reader: FieldReader) -> DemandReport:
    """Read a demand report: the numbers of requests of one class that arrived at one proxy."""
    unanswered = reader.read_uint32()
    proxy = reader.read_uint16()
    requests = reader.read_uint32()
    window = reader.read_float64()
    request_class = reader.read_uint16()
    return DemandReport(proxy, request_class, requests, unanswered, window)


def read_key_range_demand(reader: FieldReader) -> KeyRangeDemand:
    """Read a demand report for a key range: the numbers of requests of one class in the key range of one table."""
    unanswered = reader.read_uint32()
    request_class = reader.read_uint16()
    window = reader.read_float64()
    requests = reader.read_uint32()
    table = reader.read_uint16()
    return KeyRangeDemand(table, request_class, requests, unanswered, window)


def read_key_range_granted(reader: FieldReader) -> KeyRangeGranted:
    """Read the event that the right to write the table of a key range has been granted to the planner or revoked."""
    table = reader.read_uint16()
    return KeyRangeGranted(table, reader.read_flag())


def read_key_range_weight(reader: FieldReader) -> KeyRangeWeight:
    """Read the event that states the current weight of a server in the table of a key range."""
    weight = reader.read_float32()
    table = reader.read_uint16()
    return KeyRangeWeight(table, reader.read_server(), weight)
