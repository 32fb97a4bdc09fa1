"""Tests of bronzeslip.entry.daemon."""

import asyncio
import os
import signal
import unittest

import litestar

from bronzeslip.endpoints import directory
from bronzeslip.entry import daemon
from bronzeslip.entry import named_task
from bronzeslip.entry import readiness
from bronzeslip.entry import vm_config
from bronzeslip.metrics import entry_metrics
from bronzeslip.routes import current
from bronzeslip.settings import entry
from tests.support import log_capture
from tests.support import polling

_ADDRESS = vm_config.SocketAddress("127.0.0.1", 0)


@litestar.get("/permits")
async def _permits() -> None:
    """Handles nothing."""


async def _fail():
    raise LookupError("a step that fails")


def _fail_at_once():
    raise LookupError("a step that fails")


class EntryDaemonTest(unittest.IsolatedAsyncioTestCase):
    def create_daemon(self, *tasks, app=None, begin_drain=_fail_at_once):
        settings = entry.EntrySettings(drain_notice_s=0)
        table = current.CurrentTable()
        endpoints = directory.EndpointDirectory(settings)
        return daemon.EntryDaemon(
            settings,
            vm_config.VmConfig(
                vm_id="front-1",
                failure_domain="a-1",
                regions={},
                caller_address=_ADDRESS,
                readiness_address=_ADDRESS,
                store_address=_ADDRESS,
                peer_address=_ADDRESS,
                bounds=vm_config.PlaceBounds(8, 0.2, 56, 10, 2.5),
            ),
            app or (lambda *_: None),
            (_permits,),
            table,
            readiness.Readiness(table, endpoints),
            entry_metrics.EntryMetrics(table, endpoints),
            tasks,
            lambda: None,
            begin_drain,
            _fail,
        )

    # Guards against an exit that skips steps, with a traceback, after an error.
    async def test_failed_steps_do_not_prevent_an_orderly_exit(self):
        tasks_before = asyncio.all_tasks()
        run = asyncio.create_task(self.create_daemon().run())
        await asyncio.sleep(0)
        with self.assertLogs("absl") as captured:
            os.kill(os.getpid(), signal.SIGTERM)
            await run
        steps = [line for line in captured.output if "step_failed" in line]
        self.assertEqual(len(steps), 2, steps)
        self.assertEqual(asyncio.all_tasks() - tasks_before, set())

    # An unforeseen exception of a background task ended the process.
    async def test_failed_task_does_not_end_the_process(self):
        with log_capture.capture() as log:
            run = asyncio.create_task(
                self.create_daemon(
                    named_task.NamedTask("discovery", _fail)
                ).run()
            )
            await polling.wait_until(
                lambda: len(log.matching("daemon.task_failed")) == 2
            )
            self.assertEqual(log.matching("entry.draining"), [])
            os.kill(os.getpid(), signal.SIGTERM)
            await run
            log.single("entry.drained")

    # Guards against clients that stop in the middle of a body and so prevent an
    # exit before the process is killed, and the removal of its record.
    async def test_unfinished_body_does_not_prevent_an_orderly_exit(self):
        async def read_body(scope, receive, send):
            while (await receive())["type"] != "http.disconnect":
                pass

        created = self.create_daemon(app=read_body, begin_drain=lambda: 0.3)
        with log_capture.capture() as log:
            run = asyncio.create_task(created.run())
            await polling.wait_until(lambda: created._caller_server.port)
            _, writer = await asyncio.open_connection(
                "127.0.0.1", created._caller_server.port
            )
            self.addCleanup(writer.close)
            writer.write(b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx")
            await asyncio.sleep(0.2)
            os.kill(os.getpid(), signal.SIGTERM)
            done, _ = await asyncio.wait((run,), timeout=5)
            if not done:
                os.kill(os.getpid(), signal.SIGTERM)
                await run
            self.assertTrue(done)
            log.single("entry.drained")


if __name__ == "__main__":
    unittest.main()
