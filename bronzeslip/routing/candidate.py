"""One endpoint that a request may go to."""

import msgspec

from bronzeslip.membership import member
from bronzeslip.transport.frames import link


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint with what is known of its load.

    Attributes:
        endpoint: Sidecar before the endpoint.
        outstanding: Requests of this gateway that it has.
        load: Latest load heard from its sidecar.
        load_age_s: Time since it was heard, in seconds.
        sent_since_load: Requests that this gateway has sent there since.
    """

    endpoint: member.Member
    outstanding: int
    load: link.EndpointLoad
    load_age_s: float = 0.0
    sent_since_load: int = 0
