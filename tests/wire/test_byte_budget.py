"""The limit on the bytes of responses being sent: order of reservations, and release on cancellation."""

from __future__ import annotations

import asyncio

from stackwheel.wire.byte_budget import ByteBudget

TEST_TIMEOUT_S = 15


def test_reservations_are_granted_in_order_and_cancelled_ones_are_skipped() -> None:
    async def scenario() -> None:
        budget = ByteBudget(10)
        order: list[str] = []

        async def reserve(name: str, size: int, done: asyncio.Event) -> None:
            async with budget.reserve(size):
                order.append(name)
                assert budget.reserved_bytes <= 10
                await done.wait()

        done = asyncio.Event()
        async with budget.reserve(8):
            waiting = [asyncio.create_task(reserve(name, size, done)) for name, size in (("a", 9), ("b", 4), ("c", 5))]
            while len(budget.waiting) < 3:
                await asyncio.sleep(0)
            assert not budget.has_capacity(1)
            assert order == []
            waiting[0].cancel()
            await asyncio.wait(waiting[:1])
            assert budget.reserved_bytes == 8
        while order != ["b", "c"]:
            await asyncio.sleep(0)
        late = asyncio.create_task(reserve("d", 3, done))
        while not budget.waiting:
            await asyncio.sleep(0)
        done.set()
        await asyncio.wait([late, *waiting])
        assert order == ["b", "c", "d"]
        assert budget.reserved_bytes == 0
        assert budget.has_capacity(1000)

    asyncio.run(asyncio.wait_for(scenario(), TEST_TIMEOUT_S))


def test_reservation_cancelled_after_being_granted_is_released() -> None:
    async def scenario() -> None:
        budget = ByteBudget(1)

        async def reserve() -> None:
            async with budget.reserve(1):
                pass

        async with budget.reserve(1):
            waiting = asyncio.create_task(reserve())
            while not budget.waiting:
                await asyncio.sleep(0)
        waiting.cancel()  # the bytes are reserved, but the task has not run since
        await asyncio.wait([waiting])
        assert waiting.cancelled()
        assert budget.reserved_bytes == 0

    asyncio.run(asyncio.wait_for(scenario(), TEST_TIMEOUT_S))
