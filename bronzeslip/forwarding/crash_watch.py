"""Recognises requests that crash the endpoints that run them."""

import asyncio
import collections
from collections.abc import Iterator
import contextlib

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.routing import fingerprint
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.routing import suspect_state

logger = logs.get_logger(__name__)

# Three missed heartbeats of 1.2 s and a watch of the store.
_REMOVAL_WAIT_S = 5.0
# A refused connection tells at once; a silent endpoint is not waited for.
_CHECK_WAIT_S = 0.5


class CrashDetector:
    """Notes requests that were running when an endpoint crashed.

    A lost answer alone is no crash: the endpoint has to be gone without having
    said that it leaves. After two crashes a request is refused by all gateways.
    Between the first and the second it runs apart from other suspects, so that
    those that crashed nothing come to an end and are cleared.
    """

    def __init__(
        self,
        suspects: suspect_list.SuspectList,
        publisher: suspect_publisher.SuspectPublisher,
        client: endpoint_client.EndpointClient,
        endpoints: directory.EndpointDirectory,
        suspect_ttl_s: float,
    ) -> None:
        """Creates a watch.

        Args:
            suspects: Requests noted by all gateways.
            publisher: Tells the other gateways.
            client: Client of the endpoints.
            endpoints: Endpoints.
            suspect_ttl_s: When a refused request may come back, in seconds.
        """
        self._suspects = suspects
        self._publisher = publisher
        self._client = client
        self._endpoints = endpoints
        self._suspect_ttl_s = suspect_ttl_s
        self._unconfirmed_suspects: dict[ids.CrashId, set[ids.Fingerprint]] = {}
        self._checks: dict[ids.CrashId, asyncio.Task] = {}
        self._suspect_runs: collections.Counter[ids.EndpointId] = (
            collections.Counter()
        )

    def reject_quarantined(self, request: admitted.AdmittedRequest) -> None:
        """Checks a request before it is sent.

        Raises:
            errors.QuarantinedError: If it was running at two crashes.
        """
        if self._state_of(request) is suspect_state.SuspectState.QUARANTINED:
            raise errors.QuarantinedError(
                "the request was running at two crashes of endpoints",
                retry_after_s=self._suspect_ttl_s,
            )

    def endpoints_to_avoid(
        self, request: admitted.AdmittedRequest, has_lost_response: bool
    ) -> frozenset[ids.EndpointId]:
        """Lists the endpoints that a suspect should not be sent to.

        Args:
            request: The request.
            has_lost_response: Whether its answer has just been lost.
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
        """Marks an endpoint while a suspect begins to run there.

        Args:
            request: The request.
            target: The endpoint.
            has_lost_response: Whether its answer has just been lost elsewhere.
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

    def record_lost_response(
        self, request: admitted.AdmittedRequest, target: endpoint.Endpoint
    ) -> None:
        """Notes that an endpoint's answer was lost; a crash is looked for."""
        if not self._endpoints.accepts_requests(target):
            return
        crash_id = _crash_id(target)
        self._unconfirmed_suspects.setdefault(crash_id, set()).add(
            _fingerprint(request)
        )
        if crash_id not in self._checks:
            self._checks[crash_id] = asyncio.create_task(
                self._check(request, target)
            )

    async def wait_for_crash_check(
        self, request: admitted.AdmittedRequest, target: endpoint.Endpoint
    ) -> None:
        """Waits a little for a crash to be found, if a request is suspect.

        Others are repeated at once: most lost answers are no crashes.
        """
        check = self._checks.get(_crash_id(target))
        if check is not None and self._is_suspect(request):
            await asyncio.wait((check,), timeout=_CHECK_WAIT_S)

    def record_completion(self, request: admitted.AdmittedRequest) -> None:
        """Notes that an endpoint has run a request to its end."""
        for suspects in self._unconfirmed_suspects.values():
            suspects.discard(_fingerprint(request))
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
            suspects = self._unconfirmed_suspects.pop(crash_id)
            del self._checks[crash_id]
        if not has_crashed:
            return
        logger.warning(
            "endpoint.crashed",
            endpoint=target.endpoint_id,
            first_request=request.request.request_id,
            suspects=len(suspects),
        )
        for suspect in suspects:
            self._suspects.add_crash(suspect, crash_id)
        self._publisher.publish()

    async def _has_crashed(
        self, request: admitted.AdmittedRequest, target: endpoint.Endpoint
    ) -> bool:
        health_path = request.service.health_path
        try:
            await self._client.check_presence(target, health_path)
        except endpoint_errors.EndpointAbsentError:
            return self._is_unannounced_exit(target)
        except endpoint_errors.EndpointError:
            return await self._is_removed(target)
        return False

    async def _is_removed(self, target: endpoint.Endpoint) -> bool:
        """Waits for discovery to tell of an endpoint that is silent."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REMOVAL_WAIT_S):
                while self._endpoints.accepts_requests(target):
                    await self._endpoints.wait_for_change(_REMOVAL_WAIT_S)
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
    """Names the end of one incarnation, alike on all gateways."""
    return ids.CrashId(f"{target.endpoint_id}/{target.started_unix_ms}")
