"""Components of coordinated placement."""

import msgspec

from bronzeslip.placement import coordinated_chooser
from bronzeslip.placement import coordination_duties
from bronzeslip.placement import pace_reader
from bronzeslip.placement import placement_coordinator
from bronzeslip.placement import polled_engines


class PlacementParts(msgspec.Struct, frozen=True):
    """Components of one gateway, each of which has a single instance.

    Attributes:
        chooser: Chooses the endpoint that the coordinator names.
        coordinator: Places the generations of all gateways.
        duties: Shards that this gateway coordinates.
        polled_engines: Selects the engines to poll.
        pace_reader: Reads the paces of the coordinated engines.
    """

    chooser: coordinated_chooser.CoordinatedChooser
    coordinator: placement_coordinator.PlacementCoordinator
    duties: coordination_duties.CoordinationDuties
    polled_engines: polled_engines.PolledEngines
    pace_reader: pace_reader.PaceReader
