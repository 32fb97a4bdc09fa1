"""Detects requests that crash the endpoints that run them."""

import asyncio
import collections
from collections.abc import Iterator
import contextlib

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import lost_requests
from bronzeslip.forwarding import part_watch
from bronzeslip.routing import fingerprint
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.routing import suspect_state

logger = logs.get_logger(__name__)

# Three missed heartbeats at 1.2 s intervals, plus the delay of a store watch.
_REMOVAL_WAIT_S = 5.0
# Enough for a refused connection, which is reported immediately. A retry does
# not wait longer for an unresponsive endpoint.
_CHECK_WAIT_S = 0.5
# The end of a response is held back this long at most. An endpoint that does
# not respond in time is taken to be there.
_END_CHECK_WAIT_S = 0.15
# Pauses between the probes of an endpoint without a response. A process that is
# ending still accepts connections and resets them a moment later.
_MIN_PROBE_PAUSE_S = 0.05
_MAX_PROBE_PAUSE_S = 1.0


class CrashDetector:
    """Records requests that were running when an endpoint crashed.

    A lost response alone is not a crash: the endpoint also has to be gone
    without having announced that it is leaving. After two crashes, all gateways
    reject the request. After the first crash, a request is a suspect and runs
    on a different endpoint than other suspects, so that requests that did not
    cause the crash can complete and are cleared.

    Requests may also crash endpoints by a part of their prompts, no two of them
    alike; these are recognised by the parts that lost prompts have in common.
    """

    def __init__(
        self,
        suspects: suspect_list.SuspectList,
        publisher: suspect_publisher.SuspectPublisher,
        client: endpoint_client.EndpointClient,
        endpoints: directory.EndpointDirectory,
        suspect_ttl_s: float,
    ) -> None:
        """Initializes the detector.

        Args:
            suspects: Suspects recorded by all gateways.
            publisher: Publishes suspects to the other gateways.
            client: Client for calls to endpoints.
            endpoints: Directory of the known endpoints.
            suspect_ttl_s: Time after which a quarantined request may be
                retried, in seconds.
        """
        self._suspects = suspects
        self._publisher = publisher
        self._client = client
        self._endpoints = endpoints
        self._suspect_ttl_s = suspect_ttl_s
        self._parts = part_watch.PartWatch(
            suspects.parts, publisher, suspect_ttl_s
        )
        self._unconfirmed: dict[ids.CrashId, lost_requests.LostRequests] = {}
        self._checks: dict[ids.CrashId, asyncio.Task] = {}
        self._suspect_runs: collections.Counter[ids.EndpointId] = (
            collections.Counter()
        )

    def reject_quarantined(self, request: admitted.AdmittedRequest) -> None:
        """Rejects a quarantined request before it is sent.

        Raises:
            errors.QuarantinedError: If the request was running during two
                crashes, or parts of its prompt were lost in several.
        """
        if self._state_of(request) is suspect_state.SuspectState.QUARANTINED:
            raise errors.QuarantinedError(
                "the request was running during two endpoint crashes",
                retry_after_s=self._suspect_ttl_s,
            )
        self._parts.reject_quarantined(request)

    def endpoints_to_avoid(
        self, request: admitted.AdmittedRequest, has_lost_response: bool
    ) -> frozenset[ids.EndpointId]:
        """Returns the endpoints that should not receive a suspect.

        Args:
            request: Request to send.
            has_lost_response: Whether its response has just been lost.
        """
        if not has_lost_response and not self._is_suspect(request):
            return frozenset()
        return frozenset(self._suspect_runs)

    @contextlib.contextmanager
    def track_suspect(
        self,
        request: admitted.AdmittedRequest,
        target: endpoint.Endpoint,
        has_lost_response: bool,
    ) -> Iterator[None]:
        """Marks an endpoint while a suspect starts to run there.

        Has no effect for requests that are not suspect.

        Args:
            request: Request that is sent.
            target: Endpoint that it is sent to.
            has_lost_response: Whether another endpoint has just lost its
                response.
        """
        if not has_lost_response and not self._is_suspect(request):
            yield
            return
        self._suspect_runs[target.endpoint_id] += 1
        try:
            yield
        finally:
            self._suspect_runs[target.endpoint_id] -= 1
            self._suspect_runs += collections.Counter()

    def record_answered(self, request: admitted.AdmittedRequest) -> None:
        """Records that an endpoint has begun to answer and did not crash."""
        self._parts.record_answered(request)

    def record_lost_response(
        self,
        request: admitted.AdmittedRequest,
        target: endpoint.Endpoint,
        is_answered: bool = False,
    ) -> None:
        """Records a lost response and checks whether the endpoint crashed.

        Args:
            request: Request whose response was lost.
            target: Endpoint that received it.
            is_answered: Whether the endpoint had begun to answer it.
        """
        if not self._endpoints.accepts_requests(target):
            return
        crash_id = _crash_id(target)
        lost = self._unconfirmed.setdefault(
            crash_id, lost_requests.LostRequests()
        )
        lost.fingerprints.add(_fingerprint(request))
        if not is_answered:
            lost.prompts.add(part_watch.parts_of(request))
        if crash_id not in self._checks:
            self._checks[crash_id] = task_set.start(
                "crash check", self._check(request, target)
            )

    async def wait_for_crash_check(
        self, request: admitted.AdmittedRequest, target: endpoint.Endpoint
    ) -> None:
        """Waits briefly for a running crash check if a request is suspect.

        Other requests are retried immediately, since most lost responses are
        not caused by crashes.
        """
        check = self._checks.get(_crash_id(target))
        if check is not None and self._is_suspect(request):
            await asyncio.wait((check,), timeout=_CHECK_WAIT_S)

    async def raise_if_gone(
        self,
        request: admitted.AdmittedRequest,
        target: endpoint.Endpoint,
        head: endpoint_client.ResponseHead,
    ) -> None:
        """Raises an error if a response may have been cut off.

        A response that ends with its connection looks complete if its endpoint
        is killed, or exits while it leaves.

        Args:
            request: Request whose response has ended.
            target: Endpoint that responded.
            head: Head of the response.

        Raises:
            endpoint_errors.EndpointResponseLostError: If the response ended
                with its connection and the endpoint is gone.
        """
        if head.framing is not body_framing.BodyFraming.CONNECTION_END:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_END_CHECK_WAIT_S):
                if await self._is_gone(request, target):
                    raise endpoint_errors.EndpointResponseLostError(
                        "the endpoint is gone at the end of its response"
                    )

    def record_completion(self, request: admitted.AdmittedRequest) -> None:
        """Records that an endpoint has completed a request."""
        for lost in self._unconfirmed.values():
            lost.fingerprints.discard(_fingerprint(request))
        if self._is_suspect(request):
            self._suspects.clear(_fingerprint(request))
            self._publisher.publish()

    async def _check(
        self, request: admitted.AdmittedRequest, target: endpoint.Endpoint
    ) -> None:
        crash_id = _crash_id(target)
        has_crashed = False
        try:
            has_crashed = await self._has_crashed(request, target)
        finally:
            lost = self._unconfirmed.pop(crash_id)
            del self._checks[crash_id]
        if not has_crashed:
            return
        logger.warning(
            "endpoint.crashed",
            endpoint=target.endpoint_id,
            first_request=request.request.request_id,
            suspects=len(lost.fingerprints),
            unanswered=len(lost.prompts),
        )
        for suspect in lost.fingerprints:
            self._suspects.add_crash(suspect, crash_id)
        self._suspects.parts.add_crash(crash_id, lost.prompts)
        self._publisher.publish()

    async def _is_gone(
        self, request: admitted.AdmittedRequest, target: endpoint.Endpoint
    ) -> bool:
        """Probes an endpoint until it responds or is absent."""
        health_path = request.service.health_path
        while True:
            try:
                await self._client.check_presence(target, health_path)
            except endpoint_errors.EndpointAbsentError:
                return True
            except endpoint_errors.EndpointError:
                await asyncio.sleep(_MIN_PROBE_PAUSE_S)
            else:
                return False

    async def _has_crashed(
        self, request: admitted.AdmittedRequest, target: endpoint.Endpoint
    ) -> bool:
        """Probes an endpoint until it responds, is absent or is removed."""
        health_path = request.service.health_path
        pause_s = _MIN_PROBE_PAUSE_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REMOVAL_WAIT_S):
                while self._endpoints.accepts_requests(target):
                    try:
                        await self._client.check_presence(target, health_path)
                    except endpoint_errors.EndpointAbsentError:
                        return self._is_unannounced_exit(target)
                    except endpoint_errors.EndpointError:
                        await self._endpoints.wait_for_change(pause_s)
                        pause_s = min(2 * pause_s, _MAX_PROBE_PAUSE_S)
                    else:
                        return False
        return not self._endpoints.accepts_requests(
            target
        ) and self._is_unannounced_exit(target)

    def _is_unannounced_exit(self, target: endpoint.Endpoint) -> bool:
        entry = self._endpoints.get(target.endpoint_id)
        return entry is None or entry.is_ready

    def _is_suspect(self, request: admitted.AdmittedRequest) -> bool:
        return self._state_of(request) is not suspect_state.SuspectState.CLEAR

    def _state_of(
        self, request: admitted.AdmittedRequest
    ) -> suspect_state.SuspectState:
        if not self._suspects.has_entries:
            return suspect_state.SuspectState.CLEAR
        return self._suspects.state_of(_fingerprint(request))


def _fingerprint(request: admitted.AdmittedRequest) -> ids.Fingerprint:
    incoming_request = request.request
    return fingerprint.of_call(
        request.workspace_id,
        incoming_request.method,
        incoming_request.target,
        incoming_request.body,
    )


def _crash_id(target: endpoint.Endpoint) -> ids.CrashId:
    """Returns an id for the crash of one incarnation, equal on all gateways."""
    return ids.CrashId(f"{target.endpoint_id}/{target.started_unix_ms}")
