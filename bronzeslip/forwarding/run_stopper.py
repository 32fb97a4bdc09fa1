"""Stops a run at an engine whose response was lost."""

import asyncio

from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import components
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import standby_copy

logger = logs.get_logger(__name__)

# Callers abandon a stream after a gap of two seconds or more.
_STOP_TIMEOUT_S = 1.5
# Pause before the engine is called again. The reports of engines lag behind by
# a few hundred milliseconds.
_RETRY_PAUSE_S = 0.05


class RunStopper:
    """Makes sure that a run has ended at one engine before it resumes.

    A lost connection does not end every run: some engines go on generating for
    a caller that they can no longer reach.
    """

    def __init__(
        self,
        shared: components.ForwardingComponents,
        request: admitted.AdmittedRequest,
    ) -> None:
        """Initializes the stopper.

        Args:
            shared: Shared components of the gateway.
            request: Request whose run is stopped.
        """
        self._components = shared
        self._request = request

    async def stop(
        self,
        source: endpoint.Endpoint,
        copy: standby_copy.StandbyCopy | None,
    ) -> standby_copy.StandbyCopy | None:
        """Stops a run and waits until its engine no longer reports it.

        Args:
            source: Engine whose response was lost.
            copy: Standby copy of the run, or None if there is none.

        Returns:
            The copy made when the run stopped or, if the engine made none, the
            one given.

        Raises:
            endpoint_errors.RunContinuesError: If the engine can be reached and
                did not stop the run.
        """
        if self._request.service.engine is None:
            # Plain services neither report nor stop their runs.
            return copy
        started_s = _now_s()
        outcome = "cancelled"
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                copy = await self._stop_and_copy(source, copy)
                await self._wait_until_unreported(source)
            outcome = "stopped"
        except endpoint_errors.EndpointError as error:
            # The run has ended, with or without its engine.
            outcome = error.code
        except TimeoutError as error:
            outcome = "timeout"
            raise endpoint_errors.RunContinuesError(
                f"endpoint {source.endpoint_id} did not stop the run"
            ) from error
        finally:
            logger.info(
                "stream.run_stopped",
                request=self._request.request.request_id,
                endpoint=source.endpoint_id,
                outcome=outcome,
                took_s=round(_now_s() - started_s, 3),
            )
        return copy

    async def _stop_and_copy(
        self,
        source: endpoint.Endpoint,
        copy: standby_copy.StandbyCopy | None,
    ) -> standby_copy.StandbyCopy | None:
        """Makes an engine stop the run, and copies what it generated.

        Raises:
            endpoint_errors.EndpointUnreachableError: If the engine is gone.
            endpoint_errors.EndpointNotFoundError: If it has no such run.
        """
        while True:
            # An evacuation may become known between two calls.
            target = self._usable_target(copy) or self._choose_target(source)
            if target is None or not self._request.service.engine.can_move:
                return copy
            try:
                result = await self._components.client.copy_run(
                    source,
                    self._request.request.request_id,
                    target,
                    is_last=True,
                    timeout_s=_STOP_TIMEOUT_S,
                )
            except (
                endpoint_errors.EndpointUnreachableError,
                endpoint_errors.EndpointNotFoundError,
            ):
                raise
            except endpoint_errors.EndpointError:
                # Another copy of the run may still be in progress, or the
                # process is ending and resets its connections.
                await asyncio.sleep(_RETRY_PAUSE_S)
            else:
                return standby_copy.StandbyCopy(
                    source, target, result.handle, _now_s(), result.events
                )

    def _usable_target(
        self, copy: standby_copy.StandbyCopy | None
    ) -> endpoint.Endpoint | None:
        if copy is None or self._components.endpoints.is_evacuated(copy.target):
            return None
        return copy.target

    def _choose_target(
        self, source: endpoint.Endpoint
    ) -> endpoint.Endpoint | None:
        return self._components.copy_target_chooser.choose(
            self._request, source, frozenset(), is_urgent=True
        )

    async def _wait_until_unreported(self, source: endpoint.Endpoint) -> None:
        """Waits until the engine's report does not list the run.

        Raises:
            endpoint_errors.EndpointUnreachableError: If the engine is gone.
        """
        request_id = self._request.request.request_id
        while True:
            try:
                report = await self._components.client.report(
                    source, must_be_own=True
                )
            except endpoint_errors.EndpointUnreachableError:
                raise
            except endpoint_errors.EndpointError as error:
                logger.info(
                    "reports.failed",
                    endpoint=source.endpoint_id,
                    reason=error.message,
                )
            else:
                if all(run.request_id != request_id for run in report.runs):
                    return
            await asyncio.sleep(_RETRY_PAUSE_S)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
