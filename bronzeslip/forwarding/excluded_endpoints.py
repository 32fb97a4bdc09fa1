"""Endpoints that a choice must not consider."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Set as AbstractSet

from bronzeslip import ids
from bronzeslip.forwarding import admitted
from bronzeslip.places import cold_limits


class ExcludedEndpoints(AbstractSet[ids.EndpointId]):
    """Named endpoints and cold ones without a free share.

    Cold endpoints are looked up one by one as they are considered, so that a
    request has no cost for those of which it considers none.
    """

    def __init__(
        self,
        named: AbstractSet[ids.EndpointId],
        limits: cold_limits.ColdLimits,
        request: admitted.AdmittedRequest,
        excludes_all_cold: bool = False,
    ) -> None:
        """Creates the set for one choice.

        Args:
            named: Endpoints that are excluded for other reasons.
            limits: Limits of cold endpoints.
            request: Request to send.
            excludes_all_cold: Whether cold endpoints with a free share are
                excluded, too.
        """
        self._named = named
        self._limits = limits
        self._request = request
        self._excluding_delay_s = (
            limits.cold_s if excludes_all_cold else limits.delay_s
        )

    def __contains__(self, endpoint_id: object) -> bool:
        """Returns whether an endpoint is excluded."""
        return endpoint_id in self._named or bool(
            self._excluding_delay_s(endpoint_id, self._request)
        )

    def __iter__(self) -> Iterator[ids.EndpointId]:
        """Iterates over the excluded endpoints.

        A cold endpoint is excluded only after this gateway has used it.
        """
        yield from self._named
        for endpoint_id in self._limits.used_endpoints(self._request):
            if endpoint_id not in self._named and endpoint_id in self:
                yield endpoint_id

    def __len__(self) -> int:
        """Returns the number of excluded endpoints."""
        return sum(1 for _ in self)

    @classmethod
    def _from_iterable(
        cls, iterable: Iterable[ids.EndpointId]
    ) -> AbstractSet[ids.EndpointId]:
        """Returns the result of a set operation."""
        return frozenset(iterable)
