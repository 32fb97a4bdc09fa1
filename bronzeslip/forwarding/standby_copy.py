"""A copy of a run's memory from which the run can go on."""

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint


class StandbyCopy(msgspec.Struct, frozen=True):
    """Copy that another engine keeps of a run.

    Attributes:
        source: Engine that runs it and has made the copy.
        target: Engine that keeps the copy.
        handle: Name of the copy at its source.
        renewed_s: When it was made or renewed last, on the loop's clock.
        events: Events that the run had made then.
    """

    source: endpoint.Endpoint
    target: endpoint.Endpoint
    handle: ids.HandleId
    renewed_s: float
    events: int
