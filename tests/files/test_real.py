"""Desk and readers on the machine's own disk and threads, and the commands that follow folders."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import pytest

from stackwheel.cli import root
from stackwheel.files.codec import KeyRing, encode
from stackwheel.files.disk import SystemDisk
from stackwheel.files.ledger import Ledger, Terms
from stackwheel.files.memory import NAME, keep, recall
from stackwheel.files.publisher import FilePublisher, Folders
from stackwheel.files.push import Pace, Pusher
from stackwheel.files.reader import Place, Reader, Taken
from stackwheel.files.records import Booking, Incarnation, Orders, Table
from stackwheel.interface import Retry
from stackwheel.settings import Names
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart

NAMES = Names(("read",), ("east",), ("small",), ("outstanding",))
KEYS = KeyRing({"k1": b"k" * 32}, "k1")


def unix() -> float:
    return time.time() * 1000.0


async def until(done: object, most: float = 20.0) -> None:
    end = time.monotonic() + most
    while not done():  # type: ignore[operator]
        assert time.monotonic() < end, "waited too long"
        await asyncio.sleep(0.02)


def folders(tmp_path: Path) -> Folders:
    for name in ("out/zone-east", "answers", "state"):
        (tmp_path / name).mkdir(parents=True)
    return Folders(str(tmp_path / "out"), str(tmp_path / "answers"))


def desk_at(places: Folders, posted: list[PlannerMessage], ids: ServerIds) -> FilePublisher:
    ledger = Ledger("n0", NAMES, 4, Terms(30_000.0, 20, 1000.0), ids.name, 7)
    return FilePublisher(ledger, Pusher(Pace(), 1), places, SystemDisk(), unix, posted.append, KEYS, look=0.02)


def test_from_decision_to_application_and_back(tmp_path: Path) -> None:
    async def main() -> None:
        places, posted, ids = folders(tmp_path), [], ServerIds()
        ids.learn("a")
        desk = desk_at(places, posted, ids)
        running = asyncio.create_task(desk.run())
        reader = Reader(
            Place("east", 0, (f"{places.out}/zone-east",), places.answers, str(tmp_path / "state")),
            SystemDisk(),
            unix,
            lambda: KEYS,
        )
        await reader.start()
        assert await reader.answer(5.0, 0.0, (), (), True) is None
        await until(lambda: any(isinstance(item, ProxyStream) for item in posted))
        stream = next(item for item in posted if isinstance(item, ProxyStream))
        part = UpdatePart((0,), True, ((server_id("a"), 1.5),), (0.9, Retry.ONCE_IF_NOT_EXECUTED))
        desk.deliver([(stream.connection, ProxyUpdate(0, (part,), nonce=3))])
        await until(lambda: (tmp_path / "out/zone-east/orders-n0.table").exists())
        (taken,) = await reader.look()
        assert isinstance(taken, Taken) and taken.held.content.tables == {"read": {"a": 1.5}}
        assert await reader.look() == []
        await reader.answer(5.0, 0.0, (), (), False)
        await until(lambda: any("Acknowledged" in repr(item) for item in posted))
        running.cancel()

    asyncio.run(main())


def test_a_folder_that_vanishes_stalls_nothing_and_is_written_when_it_is_back(tmp_path: Path) -> None:
    async def main() -> None:
        places, posted, ids = folders(tmp_path), [], ServerIds()
        ids.learn("a")
        (tmp_path / "out/zone-east").rmdir()
        desk = desk_at(places, posted, ids)
        running = asyncio.create_task(desk.run())
        reader = Reader(Place("east", 0, (), places.answers, str(tmp_path / "state")), SystemDisk(), unix, lambda: KEYS)
        await reader.start()
        await reader.answer(5.0, 0.0, (), (), True)
        await until(lambda: any(isinstance(item, ProxyStream) for item in posted))
        stream = next(item for item in posted if isinstance(item, ProxyStream))
        desk.deliver([(stream.connection, ProxyUpdate(0, (UpdatePart((0,), True, ((server_id("a"), 1.5),)),)))])
        await until(lambda: bool(desk.failing))
        (tmp_path / "out/zone-east").mkdir()
        await until(lambda: (tmp_path / "out/zone-east/orders-n0.table").exists())
        await until(lambda: not desk.failing)
        running.cancel()

    asyncio.run(main())


def test_a_new_life_begins_above_those_that_left_files(tmp_path: Path) -> None:
    async def main() -> None:
        places = folders(tmp_path)
        later = Incarnation(0, int(unix()) + 1_000_000, 5)
        (tmp_path / "out/zone-east/orders-n0.table").write_bytes(
            encode(Orders("n0", later, 9, unix(), unix() + 1000.0, "east"), KEYS)
        )
        desk = desk_at(places, [], ServerIds())
        running = asyncio.create_task(desk.run())
        await until(lambda: desk.ledger.incarnation is not None)
        assert desk.ledger.incarnation is not None and desk.ledger.incarnation > later
        running.cancel()

    asyncio.run(main())


@pytest.mark.parametrize("spoil", ["missing", "empty", "rotten"])
def test_a_memory_that_cannot_be_used_lets_no_former_booking_order_through(tmp_path: Path, spoil: str) -> None:
    disk, folder = SystemDisk(), str(tmp_path)
    memory, told = recall(disk, folder, 5000.0)
    assert memory.since == 5000.0 and told is None
    memory.since = 1.0
    assert keep(disk, folder, memory) is None and recall(disk, folder, 6000.0)[0].since == 1.0
    path = tmp_path / NAME
    if spoil == "missing":
        path.unlink()
    elif spoil == "empty":
        path.write_bytes(b"")
    else:
        path.write_bytes(path.read_bytes().replace(b"1", b"2", 1))
    memory, told = recall(disk, folder, 7000.0)
    assert memory.since == 7000.0 and (told is None) == (spoil == "missing")


def orders(sequence: int, made: float, **more: object) -> Orders:
    return Orders(
        "n0",
        Incarnation(0, 1, 1),
        sequence,
        made,
        made + 60_000.0,
        "east",
        tables=(Table("read", {"a": float(sequence)}),),
        **more,
    )  # type: ignore[arg-type]


def test_follow_and_serve(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    place = tmp_path / "in"
    place.mkdir()
    now = unix()
    (place / "orders-n0.table").write_bytes(encode(orders(2, now, bookings=(Booking("b1", "read", 1, now + 9e4),))))
    (place / "torn.table").write_bytes(encode(orders(3, now))[:-9])
    words = [str(place), "--zone", "east", "--state", str(tmp_path), "--once", "--json"]
    assert root.run(["files", "follow", *words]) == 1
    told = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [(one["file"], one["taken"]) for one in told] == [("torn.table", False), ("orders-n0.table", True)]
    (place / "torn.table").unlink()
    (place / "orders-n0.table").write_bytes(encode(orders(1, now)))
    out = tmp_path / "now.table"
    assert root.run(["files", "serve", *words, "--out", str(out), "--command", f"cat > {tmp_path}/got"]) == 1
    assert json.loads(capsys.readouterr().out)["stage"] == "order"  # also after a restart
    (place / "orders-n0.table").write_bytes(encode(orders(4, now)))
    assert root.run(["files", "serve", *words, "--out", str(out), "--command", f"cat > {tmp_path}/got"]) == 0
    assert (
        json.loads(out.read_text())["tables"]
        == {"read": {"a": 4.0}}
        == json.loads((tmp_path / "got").read_text())["tables"]
    )
