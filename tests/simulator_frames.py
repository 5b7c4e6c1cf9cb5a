"""Builds frames of the simulator protocol for tests, independently of the adapter's encoder."""

from __future__ import annotations

import struct
from typing import NamedTuple

from stackwheel.simulator.framing import Frame

BATCH_HEADER_BYTES = 20
REPLY_HEADER_BYTES = 12
RECORD_HEADER_BYTES = 5
SERVERS = 6  # in the scripted batches
PROXIES = 3
SETTINGS = """
instances=2
me=0
zone=0
zones=east,west
kinds=big,small
cycle_of_nothing=7
discovery=on_request
services.count=2
services.0.name=read
services.0.target=500.0
services.0.deadline=1200.0
services.0.worth=1.0
services.0.effect=repeatable
services.1.name=write
services.1.target=1000.0
services.1.deadline=3000.0
services.1.worth=5.0
services.1.effect=once
services.1.only_zones=0,1
bounds.peers=true
family_info.agents=4
family_info.backlog=4000.0
family_info.channel_rate=3000.0
family_info.cycle=1000.0
family_info.lb_method=two
family_info.level_kind=share
family_info.overhead=4.0
family_info.update_cap=12
family_info.messages_over=10000.0
load_report.columns=outstanding
obligations.cold=17000.0
obligations.cold_share=0.2
obligations.drain_grace=3000.0
obligations.fall_multiple=3.0
obligations.overload_for=2000.0
deductions.cross_zone=0.1
""".strip()


class Reply(NamedTuple):
    """The decoded reply to one batch."""

    batch_number: int
    records: list[bytes]


def frame_of(data: bytes) -> Frame:
    """Divide an encoded batch into its header and its body."""
    return Frame(data[:BATCH_HEADER_BYTES], data[BATCH_HEADER_BYTES:])


def record(code: int, body: bytes) -> bytes:
    return struct.pack(">BI", code, len(body)) + body


def batch(clock: float, number: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack(">dIII", clock, len(body), len(records), number) + body


def server_id(number: int) -> bytes:
    return bytes([10, 0, 0, number]) + struct.pack(">H", 7000)


def create_planner(instance: int = 0, seed: int = 5, settings: str = SETTINGS) -> bytes:
    encoded = settings.encode()
    return record(1, struct.pack(">HQI", instance, seed, len(encoded)) + encoded)


def entry(
    number: int, zone: int = 0, kind: int = 0, availability: int = 1, weight: float = 1.0, started_at: float = 0
) -> bytes:
    return server_id(number) + struct.pack(">HHHBfd", zone, kind, 0, availability, weight, started_at)


def endpoint_page(page: int, *entries: bytes) -> bytes:
    return record(15, struct.pack(">BI", page, len(entries)) + b"".join(entries))


def endpoint_update(page: int, scope: int = 0, instance: int = 0, version: int = 1) -> bytes:
    return record(2, struct.pack(">HBQB", instance, scope, version, page))


def proxy_joined(proxy: int, zone: int = 0, instance: int = 0, rate: float = 20.0) -> bytes:
    return record(7, struct.pack(">HHHfB", instance, proxy, zone, rate, 1))


def load_report(
    number: int,
    zone: int = 0,
    attempts: int = 10,
    failures: int = 0,
    mean: float = 100.0,
    instance: int = 0,
    window: float = 1000.0,
) -> bytes:
    head = struct.pack(">HH", instance, zone) + server_id(number)
    return record(10, head + struct.pack(">IIddBf", attempts, failures, mean, window, 1, 3.0))


def demand_report(proxy: int, request_class: int, requests: int, instance: int = 0) -> bytes:
    return record(11, struct.pack(">HIHIdH", instance, 0, proxy, requests, 1000.0, request_class))


def timer_fired(token: int, instance: int = 0) -> bytes:
    return record(3, struct.pack(">HQ", instance, token))


def scripted_batches(*instances: int) -> list[bytes]:
    """Return encoded batches with starts, joins of proxies, reports, a draining server and a restarted server."""
    batches = [batch(0.0, 1)]
    starts = [endpoint_page(0, *(entry(number, zone=number % 2) for number in range(SERVERS)))]
    for instance in instances:
        starts += [create_planner(instance, seed=40 + instance), endpoint_update(0, instance=instance)]
    batches.append(batch(1000.0, 2, *starts))
    joins = [proxy_joined(proxy, proxy % 2, instance) for instance in instances for proxy in range(PROXIES)]
    batches.append(batch(1100.0, 3, *joins))
    batches += [batch(2000.0 + 1000 * tick, 4 + tick, *_records_of_tick(tick, instances)) for tick in range(8)]
    return batches


def _records_of_tick(tick: int, instances: tuple[int, ...]) -> list[bytes]:
    records = []
    if tick == 4:
        records.append(endpoint_page(1, entry(1, zone=1, availability=2), entry(2, started_at=5000.0)))
        records += [endpoint_update(1, scope=3, instance=instance, version=2) for instance in instances]
    for instance in instances:
        records += [
            load_report(number, zone, 8 + number, tick % 3, 90.0 + 10 * number, instance)
            for number in range(SERVERS)
            for zone in (0, 1)
        ]
        records += [
            demand_report(proxy, request_class, 12, instance) for proxy in range(PROXIES) for request_class in (0, 1)
        ]
    return records


def split_replies(stream: bytes) -> list[Reply]:
    """Split the output of a host into replies and their records."""
    replies = []
    offset = 0
    while offset < len(stream):
        count, length, number = struct.unpack_from(">III", stream, offset)
        offset += REPLY_HEADER_BYTES
        end = offset + length
        records = []
        for _ in range(count):
            size = RECORD_HEADER_BYTES + struct.unpack_from(">I", stream, offset + 1)[0]
            records.append(stream[offset : offset + size])
            offset += size
        assert offset == end
        replies.append(Reply(number, records))
    return replies
