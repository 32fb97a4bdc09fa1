"""A seeded morning: who asks for what, and when."""

import dataclasses
import math
import random

from bronzeslip import ids
from bronzeslip.configuration import workspace
from tools import shapes

_PREAMBLE_WORDS = 832
_PREAMBLE_COUNT = 12
_HOT_PREAMBLE_SHARE = 0.4
_WORKSPACE_COUNT = 10
_DRAFT_WORKSPACE_COUNT = 4


@dataclasses.dataclass(frozen=True)
class MorningSettings:
    """Rates of one morning.

    Attributes:
        duration_s: Time during which requests arrive, in seconds.
        rush_start_s: Start of the rush, in seconds.
        rush_end_s: End of the rush, in seconds.
        drafts_per_s: Drafts a second for each engine.
        rush_drafts_per_s: The same during the rush.
        checks_per_s: Checks a second for each engine.
        rush_checks_per_s: The same during the rush.
    """

    duration_s: float = 60.0
    rush_start_s: float = 20.0
    rush_end_s: float = 45.0
    drafts_per_s: float = 2.4
    rush_drafts_per_s: float = 4.4
    checks_per_s: float = 4.0
    rush_checks_per_s: float = 20.0


IDLE_MORNING = MorningSettings(
    drafts_per_s=0.05,
    rush_drafts_per_s=0.05,
    checks_per_s=0.3,
    rush_checks_per_s=0.3,
)
OVERLOADED_MORNING = MorningSettings(
    rush_drafts_per_s=5.5, rush_checks_per_s=25.0
)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a caller.

    Attributes:
        number: Position in the morning.
        at_s: When the caller sends it first, in seconds.
        region: Region of the caller.
        workspace_id: Workspace of the caller.
        workspace_class: Class of the workspace.
        weight: Share of the workspace.
        prompt: Prompt; its mark of the length is for the engine alone.
        length_tokens: True length of the answer.
        patience_s: Time until the caller gives up, in seconds.
    """

    number: int
    at_s: float
    region: ids.RegionName
    workspace_id: ids.WorkspaceId
    workspace_class: workspace.WorkspaceClass
    weight: float
    prompt: str
    length_tokens: int
    patience_s: float

    @property
    def is_draft(self) -> bool:
        """Whether a long draft is wanted."""
        return self.workspace_class is workspace.WorkspaceClass.DRAFT


def create(
    shape: shapes.DeploymentShape, settings: MorningSettings, seed: int
) -> list[Arrival]:
    """Draws the requests of a morning in the order of their arrival."""
    rng = random.Random(seed)
    preambles = [
        " ".join(f"p{index}w{word}" for word in range(_PREAMBLE_WORDS))
        for index in range(_PREAMBLE_COUNT)
    ]
    times = [
        (at_s, kind)
        for kind, quiet, rush in (
            (
                workspace.WorkspaceClass.DRAFT,
                settings.drafts_per_s,
                settings.rush_drafts_per_s,
            ),
            (
                workspace.WorkspaceClass.INTERACTIVE,
                settings.checks_per_s,
                settings.rush_checks_per_s,
            ),
        )
        for at_s in _times(rng, shape, settings, quiet, rush)
    ]
    times.sort(key=lambda item: item[0])
    return [
        _arrival(rng, shape, preambles, number, at_s, kind)
        for number, (at_s, kind) in enumerate(times)
    ]


def _times(
    rng: random.Random,
    shape: shapes.DeploymentShape,
    settings: MorningSettings,
    quiet_per_s: float,
    rush_per_s: float,
) -> list[float]:
    times = []
    at_s = 0.0
    while True:
        in_rush = settings.rush_start_s <= at_s < settings.rush_end_s
        rate = (rush_per_s if in_rush else quiet_per_s) * shape.engine_count
        at_s += rng.expovariate(rate)
        if at_s >= settings.duration_s:
            return times
        times.append(at_s)


def _arrival(
    rng: random.Random,
    shape: shapes.DeploymentShape,
    preambles: list[str],
    number: int,
    at_s: float,
    kind: workspace.WorkspaceClass,
) -> Arrival:
    is_draft = kind is workspace.WorkspaceClass.DRAFT
    if is_draft:
        index = _skewed(rng, _DRAFT_WORKSPACE_COUNT)
        length = _heavy_tailed(rng, 350 * (0.7 + 0.3 * index), 1.0, 30, 4000)
        particulars = rng.randrange(60, 240)
    else:
        index = _DRAFT_WORKSPACE_COUNT + _skewed(
            rng, _WORKSPACE_COUNT - _DRAFT_WORKSPACE_COUNT
        )
        length = _heavy_tailed(rng, 10, 0.6, 2, 80)
        particulars = rng.randrange(10, 60)
    preamble = (
        0
        if rng.random() < _HOT_PREAMBLE_SHARE
        else rng.randrange(1, _PREAMBLE_COUNT)
    )
    words = " ".join(f"d{rng.randrange(10_000)}" for _ in range(particulars))
    return Arrival(
        number=number,
        at_s=at_s,
        region=ids.RegionName(rng.choice(shape.regions)),
        workspace_id=ids.WorkspaceId(f"workspace-{index}"),
        workspace_class=kind,
        weight=1.0,
        prompt=f"{preambles[preamble]} {words} #length={length}",
        length_tokens=length,
        patience_s=180.0 if is_draft else 30.0,
    )


def _skewed(rng: random.Random, count: int) -> int:
    return min(int(rng.expovariate(1.0)), count - 1)


def _heavy_tailed(
    rng: random.Random, median: float, sigma: float, least: int, most: int
) -> int:
    drawn = rng.lognormvariate(math.log(median), sigma)
    return int(min(max(drawn, least), most))
