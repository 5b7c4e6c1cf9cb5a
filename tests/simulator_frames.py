"""Builds frames of the simulator's wire for tests, apart from the adapter's own codec."""

from __future__ import annotations

import struct

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


def record(code: int, body: bytes) -> bytes:
    return struct.pack(">BI", code, len(body)) + body


def batch(clock: float, number: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack(">dIII", clock, len(body), len(records), number) + body


def server(number: int) -> bytes:
    return bytes([10, 0, 0, number]) + struct.pack(">H", 7000)


def create(instance: int = 0, seed: int = 5, settings: str = SETTINGS) -> bytes:
    blob = settings.encode()
    return record(1, struct.pack(">HQI", instance, seed, len(blob)) + blob)


def entry(number: int, zone: int = 0, kind: int = 0, state: int = 1, size: float = 1.0, start: float = 0) -> bytes:
    return server(number) + struct.pack(">HHHBfd", zone, kind, 0, state, size, start)


def ledger(page: int, *entries: bytes) -> bytes:
    return record(15, struct.pack(">BI", page, len(entries)) + b"".join(entries))


def directory(page: int, scope: int = 0, instance: int = 0, version: int = 1) -> bytes:
    return record(2, struct.pack(">HBQB", instance, scope, version, page))


def joined(proxy: int, zone: int = 0, instance: int = 0, rate: float = 20.0) -> bytes:
    return record(7, struct.pack(">HHHfB", instance, proxy, zone, rate, 1))


def digest(
    number: int,
    zone: int = 0,
    tries: int = 10,
    bad: int = 0,
    mean: float = 100.0,
    instance: int = 0,
    window: float = 1000.0,
) -> bytes:
    fixed = struct.pack(">HH", instance, zone) + server(number)
    return record(10, fixed + struct.pack(">IIddBf", tries, bad, mean, window, 1, 3.0))


def usage(proxy: int, place: int, total: int, instance: int = 0) -> bytes:
    return record(11, struct.pack(">HIHIdH", instance, 0, proxy, total, 1000.0, place))


def reminder(token: int, instance: int = 0) -> bytes:
    return record(3, struct.pack(">HQ", instance, token))


def day(*instances: int) -> list[bytes]:
    """A short scripted day: start, joins, reports, a drain and a restart."""
    servers = [entry(n, zone=n % 2) for n in range(6)]
    simulator_frames = [batch(0.0, 1)]
    starts = [ledger(0, *servers)]
    for i in instances:
        starts += [create(i, seed=40 + i), directory(0, instance=i)]
    simulator_frames.append(batch(1000.0, 2, *starts))
    simulator_frames.append(batch(1100.0, 3, *(joined(p, p % 2, i) for i in instances for p in range(3))))
    for tick in range(8):
        reports = []
        if tick == 4:
            reports.append(ledger(1, entry(1, zone=1, state=2), entry(2, start=5000.0)))
            reports += [directory(1, scope=3, instance=i, version=2) for i in instances]
        for i in instances:
            reports += [digest(n, z, 8 + n, tick % 3, 90.0 + 10 * n, i) for n in range(6) for z in (0, 1)]
            reports += [usage(p, c, 12, i) for p in range(3) for c in (0, 1)]
        simulator_frames.append(batch(2000.0 + 1000 * tick, 4 + tick, *reports))
    return simulator_frames


def replies(stream: bytes) -> list[tuple[int, list[bytes]]]:
    """Split standard output into (batch number, records)."""
    found, at = [], 0
    while at < len(stream):
        count, length, number = struct.unpack_from(">III", stream, at)
        at += 12
        end, records = at + length, []
        for _ in range(count):
            size = struct.unpack_from(">I", stream, at + 1)[0]
            records.append(stream[at : at + 5 + size])
            at += 5 + size
        assert at == end
        found.append((number, records))
    return found
