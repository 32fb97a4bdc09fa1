"""What requests leave for the resumptions of interrupted generations."""

from bronzeslip.forwarding import admitted

_RESERVED = 1.0


def reserved_by(request: admitted.AdmittedRequest) -> float:
    """Returns how many retries or permits a request leaves unused.

    A refused request can be sent again by its caller, an interrupted generation
    is lost.
    """
    return _RESERVED if request.service.engine is not None else 0.0
