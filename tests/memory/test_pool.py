"""Tests of bronzeslip.memory.pool."""

import asyncio
import unittest

from bronzeslip.memory import errors
from bronzeslip.memory import pool
from bronzeslip.memory import reservation

_LONG_S = 10.0


class MemoryPoolTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.pool = pool.MemoryPool(100)
        self.order = []

    async def hold(self, name, size_bytes, wait_s=_LONG_S):
        held = reservation.Reservation(self.pool)
        await held.grow(size_bytes, wait_s)
        self.order.append(name)
        return held

    async def start(self, name, size_bytes, wait_s=_LONG_S):
        task = asyncio.create_task(self.hold(name, size_bytes, wait_s))
        await asyncio.sleep(0)
        return task

    async def test_room_is_granted_in_the_order_of_arrival(self):
        first = await self.hold("first", 100)
        large = await self.start("large", 90)
        small = await self.start("small", 10)
        first.shrink(50)
        await asyncio.sleep(0)
        self.assertEqual(self.order, ["first"])
        first.release()
        await asyncio.gather(large, small)
        self.assertEqual(self.order, ["first", "large", "small"])
        self.assertEqual(self.pool.taken_bytes, 100)

    async def test_wait_is_bounded_and_lets_the_next_through(self):
        await self.hold("first", 60)
        large = await self.start("large", 50, 0.05)
        small = await self.start("small", 40)
        with self.assertRaises(errors.MemoryShortError):
            await large
        await small
        self.assertEqual(self.pool.taken_bytes, 100)
        self.assertEqual(self.pool.refused_count, 1)

    async def test_reservation_above_the_capacity_is_refused_at_once(self):
        async with asyncio.timeout(1):
            with self.assertRaises(errors.MemoryShortError):
                await self.hold("large", 101)

    async def test_cancelled_waits_take_nothing(self):
        first = await self.hold("first", 100)
        waiting = await self.start("waiting", 100)
        first.release()
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual(self.pool.taken_bytes, 0)
        self.assertEqual(self.pool.waiting_count, 0)

    async def test_small_reservations_do_not_wait_behind_large_ones(self):
        await self.hold("first", 60)
        waiting = await self.start("large", 50)
        self.assertTrue(self.pool.try_take(40))
        self.assertFalse(self.pool.try_take(1))
        waiting.cancel()

    async def test_released_twice_gives_back_once(self):
        with await self.hold("first", 60) as held:
            held.release()
        held.release()
        self.assertEqual(self.pool.taken_bytes, 0)

    async def test_resizing_takes_and_gives_back_the_difference(self):
        held = reservation.Reservation(self.pool)
        self.assertTrue(held.try_resize(80))
        self.assertFalse(held.try_resize(101))
        self.assertEqual(self.pool.taken_bytes, 80)
        self.assertTrue(held.try_resize(10))
        held.force(120)
        self.assertEqual(self.pool.taken_bytes, 120)
        held.force(20)
        self.assertEqual(self.pool.taken_bytes, 20)
