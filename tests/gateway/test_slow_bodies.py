"""Tests of bodies that arrive slowly while memory is short."""

import asyncio
import unittest
from unittest import mock

from bronzeslip.gateway import body_memory
from bronzeslip.gateway import errors
from bronzeslip.http import partial_body
from bronzeslip.memory import pool
from bronzeslip.memory import reservation

_BODY_BYTES = 4 * 1024 * 1024
# The smallest rate that is not refused is 64 KiB/s.
_STEADY_BYTES_PER_S = 100_000
_TIME_S = 0.1
_LIMIT_TURNS = 5


class SlowBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The same rates, in a tenth of the time.
        for name, value in (
            ("_PROGRESS_TIME_S", _TIME_S),
            ("_PROGRESS_BYTES", int(64 * 1024 * _TIME_S)),
        ):
            patch = mock.patch.object(body_memory, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.held = reservation.Reservation(
            pool.MemoryPool(_BODY_BYTES + 2**17)
        )
        self.memory = body_memory.BodyMemory(self.held)
        await self.memory.reserve(_BODY_BYTES)
        self.body = partial_body.PartialBody(_BODY_BYTES)

    async def receive(self, count, chunk_bytes, last_wait_s=0.0):
        for _ in range(count):
            await asyncio.sleep(_TIME_S / 10)
            self.body.add(b"x" * chunk_bytes)
        await asyncio.sleep(last_wait_s)
        return self.body.join()

    async def read(self, reading):
        async with asyncio.timeout(_LIMIT_TURNS * _TIME_S):
            return await self.memory.read(reading, self.body)

    # Guards against clients that state large bodies and stop sending: they kept
    # all memory for 65 s for a body of 4 MB.
    async def test_body_that_stops_gives_way(self):
        with self.assertRaises(errors.UnavailableError):
            await self.read(self.receive(5, 10_000, 60.0))

    async def test_steady_body_is_read(self):
        chunk_bytes = int(_STEADY_BYTES_PER_S * _TIME_S / 10)
        body = await self.read(self.receive(20, chunk_bytes))
        self.assertEqual(len(body), 20 * chunk_bytes)


if __name__ == "__main__":
    unittest.main()
