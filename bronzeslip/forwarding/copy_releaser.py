"""Frees standby copies that are no longer needed."""

from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import standby_copy

logger = logs.get_logger(__name__)


class CopyReleaser:
    """Frees standby copies in the background, without delaying the request.

    A copy that is not freed occupies memory until its lifetime expires.
    """

    def __init__(self, client: endpoint_client.EndpointClient) -> None:
        self._client = client
        self._tasks = task_set.TaskSet()

    def release(self, copy: standby_copy.StandbyCopy) -> None:
        """Frees a copy at its source and its target."""
        self._tasks.start("release copy", self._release(copy))

    async def _release(self, copy: standby_copy.StandbyCopy) -> None:
        try:
            await self._client.drop_copy(copy.source, copy.handle)
        except endpoint_errors.EndpointError as error:
            logger.info(
                "standby.not_released",
                endpoint=copy.source.endpoint_id,
                target=copy.target.endpoint_id,
                reason=error.message,
            )
