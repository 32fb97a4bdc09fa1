"""Base class of tests of generation sessions with fake sidecars."""

import asyncio
import random
import time
import unittest

from bronzeslip import ids
from bronzeslip.configuration import binding
from bronzeslip.configuration import service
from bronzeslip.configuration import workspace
from bronzeslip.gateway import crash_history
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import generation_session
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import request_context
from bronzeslip.gateway import resume_token
from bronzeslip.membership import directory
from bronzeslip.routing import least_outstanding
from bronzeslip.routing import retry_budget
from bronzeslip.routing import retry_plan
from bronzeslip.routing import router
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason
from tests.gateway import fake_sidecar

RETRY_AFTER_S = 7.0


class GenerationSessionCase(unittest.IsolatedAsyncioTestCase):
    """Runs two fake sidecars and creates sessions that use them."""

    async def asyncSetUp(self):
        self.sidecars = {}
        self.members = directory.MemberDirectory()
        for name in ("e1", "e2"):
            sidecar = fake_sidecar.FakeSidecar(name)
            await sidecar.start()
            self.addAsyncCleanup(sidecar.stop)
            self.members.put(sidecar.member)
            self.sidecars[name] = sidecar

    def session(self, idempotent=True, deadline_s=60.0, pool=None, **changes):
        settings = fake_sidecar.settings(**changes)
        self.suspects = suspect_list.SuspectList(settings)
        if pool is None:
            pool = peer_pool.PeerPool(settings)
            self.addAsyncCleanup(pool.close)
        endpoint_router = router.Router(
            self.members,
            pool,
            least_outstanding.LeastOutstandingPolicy(random.Random(1)),
        )
        context = request_context.RequestContext(
            ids.RequestId("r"),
            ids.WorkspaceId("w"),
            workspace.Workspace(()),
            ids.ServiceName("s"),
            service.Service(
                service.ServiceKind.GENERATION, idempotent=idempotent
            ),
            binding.Binding((), ids.ServiceName("s"), ids.PoolName("pool")),
            time.monotonic() + deadline_s,
        )
        return generation_session.GenerationSession(
            settings,
            endpoint_router,
            pool,
            self.members,
            resume_token.ResumeTokenSigner(settings),
            context,
            generation_input.GenerationInput("m", "p", 9),
            retry_plan.RetryPlan(
                retry_budget.RetryBudget(),
                settings.dispatch_attempts,
                context.deadline_s,
                random.Random(1),
            ),
            crash_history.CrashHistory(
                self.suspects,
                suspect_publisher.SuspectPublisher(
                    settings, None, set, self.suspects
                ),
                ids.Fingerprint("f"),
            ),
        )

    async def next_start(self):
        """Waits until one of the sidecars receives a start frame."""
        waiting = {
            asyncio.create_task(sidecar.accept_start()): name
            for name, sidecar in self.sidecars.items()
        }
        done, rest = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        for task in rest:
            task.cancel()
        (task,) = done
        connection, start = task.result()
        return connection, waiting[task], start.generation_id

    async def start_and_collect(self, session):
        await session.start()
        return await session.collect()

    async def start_and_stream(self, session, texts):
        await session.start()
        async for batch in session.token_batches():
            texts.extend(batch.texts)

    async def accept_next(self, *texts):
        connection, name, generation_id = await self.next_start()
        await connection.send(
            frames.GenerationAccepted(generation_id),
            frames.Tokens(generation_id, 0, list(texts)),
        )
        return connection, name, generation_id

    async def send_finished(self, connection, generation_id, count):
        await connection.send(
            frames.GenerationFinished(
                generation_id, count, reason.FinishReason.STOP, 1
            )
        )

    async def send_lost(self, connection, generation_id, crash_id=""):
        await connection.send(
            frames.GenerationLost(
                generation_id, reason.LossReason.ENDPOINT_DOWN, crash_id
            )
        )

    async def refuse_next(self):
        connection, _, generation_id = await self.next_start()
        await connection.send(
            frames.GenerationRefused(
                generation_id, reason.RefusalReason.QUEUE_FULL, RETRY_AFTER_S
            )
        )
