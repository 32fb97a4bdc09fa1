"""Tests of bronzeslip.placement.coordinated_chooser with scripted replies.

A reply may defer or refuse a request, name an endpoint that its gateway must
not use, or be wrong.
"""

import asyncio
import contextlib
import unittest

from bronzeslip import ids
from bronzeslip.forwarding import errors
from bronzeslip.placement import coordinated_chooser
from bronzeslip.placement import coordinator_contact
from bronzeslip.placement import ended_requests
from bronzeslip.placement import local_reason
from bronzeslip.placement import placement_reply
from bronzeslip.placement import placement_request
from bronzeslip.placement import placement_verdict
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints
from tests.support import virtual_loop

Verdict = placement_verdict.PlacementVerdict
Reason = local_reason.LocalReason


class _Caller:
    """Returns scripted replies, the last one again and again."""

    def __init__(self, *replies):
        self.asks = []
        self.ended = ended_requests.EndedRequests()
        self._replies = replies

    async def ask(self, ask):
        self.asks.append(ask)
        return self._replies[min(len(self.asks), len(self._replies)) - 1]


class _Gate:
    def is_coordinated(self, service_name):
        return True


class _Case:
    """A gateway whose coordinator names only engine `two`."""

    def __init__(self, *replies):
        self.components = forwarding_parts.create_components(
            scripted_endpoints.ScriptedEndpointClient({}),
            [forwarding_parts.create_endpoint(name) for name in ("one", "two")],
        )
        # The local choice never selects the engine that is named.
        self.components.failures.record_failure("two", 100.0)
        self.caller = _Caller(*replies)
        self.held = contextlib.ExitStack()
        self.reasons = []
        self.components.metrics.count_local_choice = self.reasons.append
        self.contact = coordinator_contact.CoordinatorContact()
        connections = self.components.placement.chooser._connections
        self.chooser = coordinated_chooser.CoordinatedChooser(
            forwarding_parts.VM_CONFIG,
            self.components.endpoints,
            self.components.endpoint_chooser,
            _Gate(),
            self.caller,
            self.contact,
            connections,
            self.components.regions,
            self.components.metrics,
            asyncio.get_running_loop().time,
        )

    async def choose(self, was_sent=False, **route_changes):
        request = forwarding_parts.admit_generation(**route_changes)
        chosen = await self.chooser.choose(request, frozenset(), was_sent)
        return chosen.endpoint_id


def _placed(name="two", **changes):
    return placement_reply.PlacementReply(
        Verdict.PLACED, ids.EndpointId(name), **changes
    )


def _deferred(delay_s=0.1):
    return placement_reply.PlacementReply(
        Verdict.DEFERRED, retry_after_s=delay_s
    )


_REFUSED = placement_reply.PlacementReply(Verdict.REFUSED, retry_after_s=3.0)


class RepliesTest(unittest.TestCase):
    def _run(self, play):
        return virtual_loop.run(play())

    def test_named_engine_is_used(self):
        async def play():
            case = _Case(_placed())
            self.assertEqual(await case.choose(), "two")
            self.assertTrue(case.contact.exists("pool"))

        self._run(play)

    # Guards against local choices without reports whenever engines are added.
    def test_engine_that_is_not_known_yet_is_excluded_from_a_further_ask(self):
        async def play():
            case = _Case(_placed(name="new"), _placed())
            self.assertEqual(await case.choose(), "two")
            self.assertIn("new", case.caller.asks[1].excluded)
            self.assertTrue(case.contact.exists("pool"))
            self.assertEqual(case.reasons, [])

        self._run(play)

    def test_further_asks_are_bounded(self):
        async def play():
            replies = [_placed(name=f"new-{number}") for number in range(9)]
            case = _Case(*replies)
            await case.choose()
            self.assertEqual(len(case.caller.asks), 4)
            self.assertEqual(case.reasons, [Reason.UNKNOWN_ENDPOINT.value])

        self._run(play)

    # Guards against a request that is lost, or waits without an end.
    def test_deferred_request_asks_again_and_states_its_wait(self):
        async def play():
            case = _Case(_deferred(), _deferred(9.0), _placed())
            self.assertEqual(await case.choose(), "two")
            self.assertFalse(any(ask.was_sent for ask in case.caller.asks))
            waited_s = [round(ask.waited_s, 2) for ask in case.caller.asks]
            self.assertEqual(waited_s, [0.0, 0.1, 0.35])

        self._run(play)

    # A request that was denied a permit after a wait counted as new, and could
    # be held back for as long again.
    def test_wait_before_a_denied_permit_counts(self):
        async def play():
            case = _Case(_deferred(), _placed())
            request = forwarding_parts.admit_generation()
            for _ in range(2):
                await case.chooser.choose(request, frozenset())
                await asyncio.sleep(0.2)
            waited_s = [round(ask.waited_s, 2) for ask in case.caller.asks]
            self.assertEqual(waited_s, [0.0, 0.1, 0.3])
            objectives_s = {
                round(ask.objective_left_s + ask.waited_s, 2)
                for ask in case.caller.asks
            }
            self.assertEqual(objectives_s, {request.route.objective_s})

        self._run(play)

    def test_deferred_request_is_refused_before_its_deadline(self):
        async def play():
            case = _Case(_deferred())
            started_s = asyncio.get_running_loop().time()
            with self.assertRaises(errors.OverloadedError) as caught:
                await case.choose(timeout_s=1.0)
            elapsed_s = asyncio.get_running_loop().time() - started_s
            self.assertLess(elapsed_s, 1.0)
            self.assertGreater(caught.exception.retry_after_s, 0)

        self._run(play)

    def test_client_that_leaves_ends_the_wait(self):
        async def play():
            case = _Case(_deferred())
            choosing = asyncio.create_task(case.choose())
            await asyncio.sleep(0.5)
            choosing.cancel()
            await asyncio.wait([choosing])
            asked = len(case.caller.asks)
            await asyncio.sleep(1.0)
            self.assertEqual(len(case.caller.asks), asked)

        self._run(play)

    def test_refusal_passes_its_retry_time_on(self):
        async def play():
            with self.assertRaises(errors.OverloadedError) as caught:
                await _Case(_REFUSED).choose()
            self.assertEqual(caught.exception.retry_after_s, 3.0)

        self._run(play)

    # Guards against a stream that breaks off since its resumption is refused.
    def test_request_that_was_sent_before_is_not_refused(self):
        async def play():
            case = _Case(_REFUSED)
            chosen = await case.choose(was_sent=True)
            self.assertEqual(chosen, "one")
            self.assertEqual(case.reasons, [Reason.SENT_BEFORE.value])
            self.assertTrue(case.caller.asks[0].was_sent)

        self._run(play)

    # Guards against a request to an endpoint that this gateway knows not to
    # accept it.
    def test_unusable_replies_lead_to_a_local_choice(self):
        def leave(case):
            case.components.endpoints.mark_leaving(
                forwarding_parts.create_endpoint("two")
            )

        def use_all_connections(case):
            in_flight = case.components.in_flight
            for _ in range(forwarding_parts.ENGINE_SERVICE.max_connections):
                case.held.enter_context(in_flight.track("two"))

        cases = (
            (None, Reason.NO_REPLY, None),
            (_placed(name="three"), Reason.UNKNOWN_ENDPOINT, None),
            (_placed(started_unix_ms=7), Reason.UNKNOWN_ENDPOINT, None),
            (
                placement_reply.PlacementReply(Verdict.PLACED),
                Reason.INVALID_REPLY,
                None,
            ),
            (_placed(), Reason.UNUSABLE_ENDPOINT, leave),
            (_placed(), Reason.NO_CONNECTION, use_all_connections),
        )
        for reply, reason, prepare in cases:

            async def play(reply=reply, reason=reason, prepare=prepare):
                case = _Case(reply)
                if prepare is not None:
                    prepare(case)
                self.assertEqual(await case.choose(), "one")
                self.assertEqual(case.reasons, [reason.value])
                return case

            with self.subTest(reason=reason):
                self._run(play)

    # A gateway whose coordinator named engines of an old directory chose
    # locally without any report, as its contact kept it from polling.
    def test_unusable_placement_ends_the_contact(self):
        async def play():
            case = _Case(
                _placed(),
                # Named again although the further ask excludes it.
                _placed(started_unix_ms=7),
                _placed(started_unix_ms=7),
                _deferred(),
                _placed(),
            )
            await case.choose()
            self.assertTrue(case.contact.exists("pool"))
            await case.choose()
            self.assertFalse(case.contact.exists("pool"))
            await case.choose()
            self.assertTrue(case.contact.exists("pool"))

        self._run(play)

    # Guards against a faulty coordinator that holds a request until its
    # deadline though an engine could take it.
    def test_request_deferred_beyond_its_patience_is_chosen_locally(self):
        async def play():
            case = _Case(_deferred())
            started_s = asyncio.get_running_loop().time()
            self.assertEqual(
                await case.choose(timeout_s=60.0, objective_s=1.0), "one"
            )
            elapsed_s = asyncio.get_running_loop().time() - started_s
            self.assertGreater(elapsed_s, 3.5)
            self.assertLess(elapsed_s, 4.5)
            self.assertEqual(case.reasons, [Reason.HELD_TOO_LONG.value])
            self.assertFalse(case.contact.exists("pool"))

        self._run(play)

    # Guards against a stream that ignores the memory of engines, since it runs
    # for longer than its client would have waited for its first event.
    def test_resumed_request_accepts_deferrals_for_two_seconds(self):
        async def play():
            case = _Case(_deferred())
            request = forwarding_parts.admit_generation(timeout_s=60.0)
            await asyncio.sleep(20.0)
            started_s = asyncio.get_running_loop().time()
            await case.chooser.choose(request, frozenset(), was_sent=True)
            elapsed_s = asyncio.get_running_loop().time() - started_s
            self.assertGreater(elapsed_s, 1.8)
            self.assertLess(elapsed_s, 2.2)

        self._run(play)

    # Guards against a coordinator that counts ended requests as load.
    def test_ends_are_stated_to_the_coordinators_that_were_asked(self):
        ended = ended_requests.EndedRequests()
        for number in range(100):
            ended.record_asked(f"q{number}", "front-1")
            ended.end(f"q{number}")
        ended.end("unknown")
        self.assertEqual(ended.take("front-2"), ())
        first = ended.take("front-1")
        self.assertEqual(len(first), placement_request.MAX_ENDED)
        self.assertEqual(first[0], "q0")
        self.assertEqual(len(ended.take("front-1")), 100 - len(first))
        self.assertEqual(ended.take("front-1"), ())

    # Guards against refusals that wait for gateways which can't place the
    # request either, and against polls as if no coordinator replied.
    def test_request_without_any_candidate_is_refused_without_an_ask(self):
        def evacuate(case):
            case.components.endpoints.evacuated_domains.add("a-1")

        cases = (
            (None, errors.NoEligibleEndpointError, frozenset({"b"})),
            (evacuate, errors.EvacuatedError, None),
        )
        for prepare, error_type, permitted_regions in cases:

            async def play(
                prepare=prepare,
                error_type=error_type,
                permitted_regions=permitted_regions,
            ):
                case = _Case(None)
                case.contact.record("pool", is_answered=True)
                if prepare is not None:
                    prepare(case)
                request = forwarding_parts.admit(
                    forwarding_parts.create_generation_request(),
                    kind.RequestKind.STREAM,
                    forwarding_parts.ENGINE_SERVICE,
                    permitted_regions,
                )
                with self.assertRaises(error_type):
                    await case.chooser.choose(request, frozenset())
                self.assertEqual(case.caller.asks, [])
                self.assertTrue(case.contact.exists("pool"))

            with self.subTest(error=error_type.__name__):
                self._run(play)

    def test_plain_calls_are_not_coordinated(self):
        async def play():
            case = _Case(_placed())
            case.components.endpoints.put(
                forwarding_parts.create_endpoint("c", service_name="desk")
            )
            request = forwarding_parts.admit(
                forwarding_parts.create_request(), kind.RequestKind.IDEMPOTENT
            )
            await case.chooser.choose(request, frozenset())
            self.assertEqual(case.caller.asks, [])

        self._run(play)


if __name__ == "__main__":
    unittest.main()
