"""Seeded workload of long drafts and short checks with a rush period."""

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
class WorkloadSettings:
    """Duration, rush period and request rates of a workload.

    Attributes:
        duration_s: Period in which requests arrive, in seconds.
        rush_start_s: Start of the rush, in seconds.
        rush_end_s: End of the rush, in seconds.
        drafts_per_s: Drafts per second and engine outside the rush.
        rush_drafts_per_s: Drafts per second and engine during the rush.
        checks_per_s: Checks per second and engine outside the rush.
        rush_checks_per_s: Checks per second and engine during the rush.
    """

    duration_s: float = 60.0
    rush_start_s: float = 20.0
    rush_end_s: float = 45.0
    drafts_per_s: float = 2.4
    rush_drafts_per_s: float = 4.4
    checks_per_s: float = 4.0
    rush_checks_per_s: float = 20.0


IDLE_WORKLOAD = WorkloadSettings(
    drafts_per_s=0.05,
    rush_drafts_per_s=0.05,
    checks_per_s=0.3,
    rush_checks_per_s=0.3,
)
OVERLOAD_WORKLOAD = WorkloadSettings(
    rush_drafts_per_s=5.5, rush_checks_per_s=25.0
)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Request of a caller.

    Attributes:
        number: Position in the order of arrival.
        at_s: Time at which the caller first sends the request, in seconds.
        region: Region of the caller.
        workspace_id: Workspace of the caller.
        workspace_class: Class of the workspace.
        weight: Scheduling weight of the workspace.
        prompt: Prompt; only the engine reads its length directive.
        length_tokens: True length of the output.
        timeout_s: Time after which the caller gives up, in seconds.
    """

    number: int
    at_s: float
    region: ids.RegionName
    workspace_id: ids.WorkspaceId
    workspace_class: workspace.WorkspaceClass
    weight: float
    prompt: str
    length_tokens: int
    timeout_s: float

    @property
    def is_draft(self) -> bool:
        """Whether the request is for a long draft."""
        return self.workspace_class is workspace.WorkspaceClass.DRAFT


def generate(
    shape: shapes.DeploymentShape, settings: WorkloadSettings, seed: int
) -> list[Arrival]:
    """Returns the requests of a workload in the order of arrival."""
    rng = random.Random(seed)
    preambles = [
        " ".join(f"p{index}w{word}" for word in range(_PREAMBLE_WORDS))
        for index in range(_PREAMBLE_COUNT)
    ]
    arrival_times = [
        (at_s, workspace_class)
        for workspace_class, base_rate, rush_rate in (
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
        for at_s in _draw_arrival_times(
            rng, shape, settings, base_rate, rush_rate
        )
    ]
    arrival_times.sort(key=lambda item: item[0])
    return [
        _draw_arrival(rng, shape, preambles, number, at_s, workspace_class)
        for number, (at_s, workspace_class) in enumerate(arrival_times)
    ]


def _draw_arrival_times(
    rng: random.Random,
    shape: shapes.DeploymentShape,
    settings: WorkloadSettings,
    base_rate: float,
    rush_rate: float,
) -> list[float]:
    arrival_times = []
    at_s = 0.0
    while True:
        in_rush = settings.rush_start_s <= at_s < settings.rush_end_s
        rate = (rush_rate if in_rush else base_rate) * shape.engine_count
        at_s += rng.expovariate(rate)
        if at_s >= settings.duration_s:
            return arrival_times
        arrival_times.append(at_s)


def _draw_arrival(
    rng: random.Random,
    shape: shapes.DeploymentShape,
    preambles: list[str],
    number: int,
    at_s: float,
    workspace_class: workspace.WorkspaceClass,
) -> Arrival:
    is_draft = workspace_class is workspace.WorkspaceClass.DRAFT
    if is_draft:
        index = _draw_skewed_index(rng, _DRAFT_WORKSPACE_COUNT)
        length = _draw_length(rng, 350 * (0.7 + 0.3 * index), 1.0, 30, 4000)
        unique_word_count = rng.randrange(60, 240)
    else:
        index = _DRAFT_WORKSPACE_COUNT + _draw_skewed_index(
            rng, _WORKSPACE_COUNT - _DRAFT_WORKSPACE_COUNT
        )
        length = _draw_length(rng, 10, 0.6, 2, 80)
        unique_word_count = rng.randrange(10, 60)
    preamble = (
        0
        if rng.random() < _HOT_PREAMBLE_SHARE
        else rng.randrange(1, _PREAMBLE_COUNT)
    )
    words = " ".join(
        f"d{rng.randrange(10_000)}" for _ in range(unique_word_count)
    )
    return Arrival(
        number=number,
        at_s=at_s,
        region=ids.RegionName(rng.choice(shape.regions)),
        workspace_id=ids.WorkspaceId(f"workspace-{index}"),
        workspace_class=workspace_class,
        weight=1.0,
        prompt=f"{preambles[preamble]} {words} #length={length}",
        length_tokens=length,
        timeout_s=180.0 if is_draft else 30.0,
    )


def _draw_skewed_index(rng: random.Random, count: int) -> int:
    return min(int(rng.expovariate(1.0)), count - 1)


def _draw_length(
    rng: random.Random, median: float, sigma: float, minimum: int, maximum: int
) -> int:
    sample = rng.lognormvariate(math.log(median), sigma)
    return int(min(max(sample, minimum), maximum))
