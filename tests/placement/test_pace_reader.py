"""Tests of the reads of engines' paces by their coordinator."""

import asyncio
import unittest

from bronzeslip.endpoints import directory
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.load import load_statement
from bronzeslip.placement import pace_reader
from bronzeslip.settings import entry
from tests.support import forwarding_parts

_ENGINES = tuple(
    forwarding_parts.create_endpoint(name) for name in ("one", "two")
)
_SERVICE = forwarding_parts.ENGINE_SERVICE


class _Client:
    def __init__(self):
        self.reads = []
        self.may_end = asyncio.Event()

    async def read_load(self, target, health_path):
        self.reads.append((target.endpoint_id, health_path))
        await self.may_end.wait()
        raise endpoint_errors.EndpointResponseLostError("no response")


class _Duties:
    is_asked = True

    def has_shard_of(self, service_name):
        return self.is_asked

    def is_active(self, engine):
        return self.is_asked


class PaceReaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = directory.EndpointDirectory(entry.EntrySettings())
        self.directory.replace_all(_ENGINES)
        self.client = _Client()
        self.duties = _Duties()
        self.reader = pace_reader.PaceReader(
            self.directory, self.client, self.duties, lambda: (_SERVICE,)
        )

    def state_pace(self):
        now_s = asyncio.get_running_loop().time()
        self.directory.load_statements.state(
            _ENGINES[0], load_statement.LoadStatement(1, 0, 24, 1.0, now_s)
        )

    async def start_reads(self):
        self.reader.start_reads()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    # Guards against health checks of deployments whose endpoints state none.
    async def test_services_without_a_pace_are_not_asked(self):
        await self.start_reads()
        self.assertEqual(self.client.reads, [])

    async def test_engines_are_not_asked_without_placements(self):
        self.state_pace()
        self.duties.is_asked = False
        await self.start_reads()
        self.assertEqual(self.client.reads, [])

    # Guards against calls that pile up at an engine that does not respond.
    async def test_silent_engine_has_one_read_at_a_time(self):
        self.state_pace()
        for _ in range(3):
            await self.start_reads()
        path = _SERVICE.health_path
        self.assertEqual(
            sorted(self.client.reads), [("one", path), ("two", path)]
        )
        self.client.may_end.set()
        await self.start_reads()
        await self.start_reads()
        self.assertEqual(len(self.client.reads), 4)


if __name__ == "__main__":
    unittest.main()
