"""Candidate endpoint for a request."""

import msgspec

from bronzeslip.membership import member
from bronzeslip.transport.frames import link


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint and its last known load.

    Attributes:
        endpoint: Sidecar in front of the endpoint.
        outstanding: Number of this gateway's requests at the endpoint.
        load: Latest load reported by its sidecar.
        load_age_s: Age of that load report, in seconds.
        sent_since_load: Number of requests that this gateway has sent to the
            endpoint since that report.
    """

    endpoint: member.Member
    outstanding: int
    load: link.EndpointLoad
    load_age_s: float = 0.0
    sent_since_load: int = 0
