"""Writes responses to claims without delaying the callers."""

import tenacity

from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.claims import claim as claims
from bronzeslip.claims import errors
from bronzeslip.claims import kept_result
from bronzeslip.claims import store
from bronzeslip.settings import gateway
from bronzeslip.transport.frames import call as frames

logger = logs.get_logger(__name__)

_WRITE_ATTEMPTS = 6
_MAX_BACKOFF_S = 8.0


class ResultWriter:
    """Writes responses in the background, retrying during platform outages.

    Until a response is written, retries get it from the sidecar that ran the
    call.
    """

    def __init__(
        self, settings: gateway.GatewaySettings, claim_store: store.ClaimStore
    ) -> None:
        self._settings = settings
        self._store = claim_store
        self._tasks = task_set.TaskSet()

    def schedule(
        self, stored: claims.StoredClaim, finished: frames.CallFinished
    ) -> None:
        """Starts writing a response to its claim."""
        result = kept_result.from_finished(
            finished, self._settings.kept_result_bytes
        )
        self._tasks.start("write result", self._write(stored, result))

    async def drain(self) -> None:
        """Waits until every write has succeeded or has been abandoned."""
        await self._tasks.wait()

    async def _write(
        self, stored: claims.StoredClaim, result: kept_result.KeptResult
    ) -> None:
        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_exception_type(
                errors.ClaimsUnavailableError
            ),
            wait=tenacity.wait_random_exponential(max=_MAX_BACKOFF_S),
            stop=tenacity.stop_after_attempt(_WRITE_ATTEMPTS),
            reraise=True,
        )
        try:
            await retrying(self._store.record_result, stored, result)
        except errors.ClaimTakenError:
            logger.debug("claim.result_known", call_id=stored.claim.call_id)
        except errors.ClaimError as error:
            logger.warning(
                "claim.result_not_kept",
                call_id=stored.claim.call_id,
                reason=error.message,
            )
