"""Permits that were denied to this gateway, until when."""

from bronzeslip import ids


class Denials:
    """Remembers when to ask again for permits."""

    def __init__(self) -> None:
        self._ends_s: dict[tuple[ids.EndpointId, float], float] = {}

    def add(
        self,
        endpoint_id: ids.EndpointId,
        reserved: float,
        end_s: float,
        now_s: float,
    ) -> None:
        """Records a denial; a longer one that is in force is replaced.

        Args:
            endpoint_id: Endpoint that the permit was for.
            reserved: Permits that were to be left for other requests.
            end_s: Time at which to ask again, in seconds.
            now_s: Current time, in seconds.
        """
        key = (endpoint_id, reserved)
        if not now_s < self._ends_s.get(key, now_s) < end_s:
            self._ends_s[key] = end_s

    def remaining_s(
        self, endpoint_id: ids.EndpointId, reserved: float, now_s: float
    ) -> float:
        """Returns how long not to ask, in seconds."""
        end_s = self._ends_s.get((endpoint_id, reserved), now_s)
        return max(end_s - now_s, 0.0)

    def remove_ended(self, now_s: float) -> bool:
        """Removes denials that have ended; returns whether others are left."""
        self._ends_s = {
            key: end_s for key, end_s in self._ends_s.items() if end_s > now_s
        }
        return bool(self._ends_s)

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Removes the denials of an endpoint."""
        for key in [key for key in self._ends_s if key[0] == endpoint_id]:
            del self._ends_s[key]
