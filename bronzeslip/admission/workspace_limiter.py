"""Per-workspace request limits at one gateway."""

import collections
from collections.abc import Callable
import functools
import math
import time

from bronzeslip import ids
from bronzeslip.admission import errors
from bronzeslip.admission import permit
from bronzeslip.admission import token_bucket
from bronzeslip.configuration import workspace
from bronzeslip.membership import directory

_RETRY_AFTER_S = 1.0


class WorkspaceLimiter:
    """Enforces this gateway's share of the limits of each workspace.

    Each limit is divided evenly by the number of known gateways. Gateways
    exchange no messages about usage.
    """

    def __init__(
        self,
        members: directory.MemberDirectory,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a limiter.

        Args:
            members: Directory of known members, including gateways.
            clock: Monotonic clock, in seconds.
        """
        self._members = members
        self._clock = clock
        self._in_flight: collections.Counter[ids.WorkspaceId] = (
            collections.Counter()
        )
        self._buckets: dict[ids.WorkspaceId, token_bucket.TokenBucket] = {}

    def acquire(
        self,
        workspace_id: ids.WorkspaceId,
        workspace_config: workspace.Workspace,
    ) -> permit.Permit:
        """Admits a request of a workspace and counts it as in flight.

        Raises:
            errors.WorkspaceLimitedError: If the workspace has reached its
                concurrency or rate limit.
        """
        gateways = max(len(self._members.gateways()), 1)
        self._check_in_flight(workspace_id, workspace_config.limits, gateways)
        self._check_rate(workspace_id, workspace_config.limits, gateways)
        self._in_flight[workspace_id] += 1
        return permit.Permit(functools.partial(self._release, workspace_id))

    def _check_in_flight(
        self,
        workspace_id: ids.WorkspaceId,
        limits: workspace.WorkspaceLimits,
        gateways: int,
    ) -> None:
        gateway_share = math.ceil(limits.requests_in_flight / gateways)
        if self._in_flight[workspace_id] >= gateway_share:
            raise errors.WorkspaceLimitedError(
                f"workspace limit of {gateway_share} requests in flight at this"
                " gateway is reached",
                retry_after_s=_RETRY_AFTER_S,
            )

    def _check_rate(
        self,
        workspace_id: ids.WorkspaceId,
        limits: workspace.WorkspaceLimits,
        gateways: int,
    ) -> None:
        if limits.requests_per_s is None:
            return
        now_s = self._clock()
        bucket = self._buckets.get(workspace_id)
        if bucket is None:
            bucket = token_bucket.TokenBucket(now_s)
            self._buckets[workspace_id] = bucket
        wait_s = bucket.take(limits.requests_per_s / gateways, now_s)
        if wait_s:
            raise errors.WorkspaceLimitedError(
                "workspace request rate limit exceeded", retry_after_s=wait_s
            )

    def _release(self, workspace_id: ids.WorkspaceId) -> None:
        self._in_flight[workspace_id] -= 1
        if not self._in_flight[workspace_id]:
            del self._in_flight[workspace_id]
