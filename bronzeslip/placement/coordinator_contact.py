"""Whether the coordinators of services reply to this gateway."""

from bronzeslip import ids


class CoordinatorContact:
    """Tracks whether the latest request for a placement was answered.

    A gateway without requests keeps its contact. It polls no engines then,
    since the coordinator, which does, decides on its next request.
    """

    def __init__(self) -> None:
        self._in_contact: set[ids.ServiceName] = set()

    def record(self, service_name: ids.ServiceName, is_answered: bool) -> None:
        """Records the outcome of a request for a placement."""
        if is_answered:
            self._in_contact.add(service_name)
        else:
            self._in_contact.discard(service_name)

    def exists(self, service_name: ids.ServiceName) -> bool:
        """Returns whether the latest request for a service was answered."""
        return service_name in self._in_contact
