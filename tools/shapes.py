"""Scaled-down versions of the users' deployments."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DeploymentShape:
    """Names and sizes of one user's deployment.

    Attributes:
        name: Name of the user.
        regions: Regions, each with one failure domain.
        model: Model that the engine pool serves.
        engine_pool: Name of the engine pool.
        engine_count: Number of engines.
        generation_service: Service that the engines serve.
        plain_pool: Name of the pool of the plain service.
        plain_count: Number of endpoints of the plain service.
        plain_service: The plain service, which is not idempotent.
        workspaces: Workspaces; the first one has the class draft.
    """

    name: str
    regions: tuple[str, ...]
    model: str
    engine_pool: str
    engine_count: int
    generation_service: str
    plain_pool: str
    plain_count: int
    plain_service: str
    workspaces: tuple[str, ...]


MIDLANDS = DeploymentShape(
    name="midlands",
    regions=("brum", "black-country", "potteries"),
    model="tin-drafter",
    engine_pool="drafting",
    engine_count=5,
    generation_service="drafts",
    plain_pool="ledger",
    plain_count=3,
    plain_service="commissions",
    workspaces=("smiths", "clerks", "conservation"),
)

MONGOLIA = DeploymentShape(
    name="mongolia",
    regions=("ulaanbaatar", "darkhan", "erdenet"),
    model="rota-drafter",
    engine_pool="rota",
    engine_count=7,
    generation_service="rotas",
    plain_pool="ordering",
    plain_count=3,
    plain_service="orders",
    workspaces=("planners", "counters", "churn"),
)
