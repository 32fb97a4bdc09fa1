"""Permits that were denied to this gateway, until when."""

from bronzeslip import ids


class Denials:
    """Remembers when to ask again for permits."""

    def __init__(self) -> None:
        self._ends_s: dict[tuple[ids.EndpointId, float], float] = {}

    def add(
        self, endpoint_id: ids.EndpointId, reserved: float, end_s: float
    ) -> None:
        """Records a denial; an earlier one that is in force is kept.

        Args:
            endpoint_id: Endpoint that the permit was for.
            reserved: Permits that were to be left for other requests.
            end_s: Time at which to ask again, in seconds.
        """
        self._ends_s.setdefault((endpoint_id, reserved), end_s)

    def remaining_s(
        self, endpoint_id: ids.EndpointId, reserved: float, now_s: float
    ) -> float:
        """Returns how long not to ask, in seconds."""
        end_s = self._ends_s.get((endpoint_id, reserved))
        if end_s is None:
            return 0.0
        if end_s <= now_s:
            del self._ends_s[endpoint_id, reserved]
            return 0.0
        return end_s - now_s

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Removes the denials of an endpoint."""
        for key in [key for key in self._ends_s if key[0] == endpoint_id]:
            del self._ends_s[key]
