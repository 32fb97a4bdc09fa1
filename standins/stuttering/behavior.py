"""Random choices of the stuttering endpoint stand-in."""

import random

from standins.stuttering import repetition
from standins.stuttering import repetition_content
from standins.stuttering import repetition_time
from standins.stuttering import response_kind

_Kind = response_kind.ResponseKind
_Time = repetition_time.RepetitionTime
_WEIGHT_BY_KIND = {
    _Kind.SUCCESS: 60,
    _Kind.FAILURE: 10,
    _Kind.TIMEOUT: 5,
    _Kind.NOT_FOUND: 7,
    _Kind.REFUSAL: 5,
    _Kind.UNAVAILABLE: 3,
    _Kind.CUT_SHORT: 3,
    _Kind.UNFRAMED: 4,
    _Kind.UNNAMED: 3,
}
# Most connections on which bytes follow a response at once are replaced.
_WEIGHT_BY_TIME = {
    _Time.AT_ONCE: 1,
    _Time.LATER: 2,
    _Time.BEFORE_NEXT: 5,
    _Time.IN_HALVES: 1,
}
_CONTENTS = tuple(repetition_content.RepetitionContent)
_MAX_DURATION_S = 0.02
_SLOW_SHARE = 0.03
_SLOW_DURATION_S = 0.4
_DELAY_RANGE_S = (0.001, 0.05)
_MAX_FILLER_BYTES = 300
_LARGE_FILLER_SHARE = 0.01
# More than gateways hold of a response before they relay it.
_LARGE_FILLER_BYTES = 1_200_000


class Behavior:
    """Decides how requests are answered.

    Attributes:
        rng: Source of random numbers.
    """

    def __init__(
        self, seed: str, repetition_share: float, broken_off_share: float
    ) -> None:
        """Creates a behavior.

        Args:
            seed: Seed of the random numbers.
            repetition_share: Share of complete responses that are followed by
                a second one.
            broken_off_share: Share of second responses that are broken off.
        """
        self.rng = random.Random(seed)
        self._repetition_share = repetition_share
        self._broken_off_share = broken_off_share

    def response_kind(self) -> response_kind.ResponseKind:
        """Selects the kind of a response."""
        (kind,) = self.rng.choices(
            tuple(_WEIGHT_BY_KIND), _WEIGHT_BY_KIND.values()
        )
        return kind

    def repetition(self) -> repetition.Repetition | None:
        """Selects the second response, None for no second one."""
        if self.rng.random() >= self._repetition_share:
            return None
        (time,) = self.rng.choices(
            tuple(_WEIGHT_BY_TIME), _WEIGHT_BY_TIME.values()
        )
        return repetition.Repetition(
            self.rng.choice(_CONTENTS),
            time,
            self.rng.random() < self._broken_off_share,
        )

    def duration_s(self) -> float:
        """Selects how long a request runs, in seconds."""
        if self.rng.random() < _SLOW_SHARE:
            return _SLOW_DURATION_S
        return self.rng.uniform(0, _MAX_DURATION_S)

    def delay_s(self) -> float:
        """Selects how much later a second response is sent, in seconds."""
        return self.rng.uniform(*_DELAY_RANGE_S)

    def filler(self) -> bytes:
        """Selects text that makes bodies differ in length."""
        if self.rng.random() < _LARGE_FILLER_SHARE:
            return bytes(_LARGE_FILLER_BYTES)
        return b"x" * self.rng.randrange(_MAX_FILLER_BYTES)
