"""What a generation needs of the engine that runs it."""

import msgspec

from bronzeslip import ids


class PlacementNeed(msgspec.Struct, frozen=True):
    """Size of a generation whose engine is to be chosen.

    Attributes:
        service_name: Service that runs it.
        prompt_tokens: Length of its prompt, in tokens.
        expected_tokens: Expected memory use at its end, in tokens.
        output_tokens: Estimated length of its output, in tokens.
        is_long: Whether it may outlive its engine.
    """

    service_name: ids.ServiceName
    prompt_tokens: int
    expected_tokens: int
    output_tokens: int
    is_long: bool
