"""Declaration of a service."""

import enum

import msgspec


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    GENERATION = "generation"
    PLAIN = "plain"


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that workspaces may call.

    Attributes:
        kind: Whether model engines or plain endpoints answer.
        idempotent: Whether a call may be run more than once.
        model: Model that callers name, for a generation service.
        max_output_tokens: Most tokens one generation may produce.
        deadline_s: Deadline of a call that names none, in seconds.
        retry_budget_ratio: Retries allowed as a share of requests.
    """

    kind: ServiceKind
    idempotent: bool = True
    model: str | None = None
    max_output_tokens: int = 32_768
    deadline_s: float = 3600.0
    retry_budget_ratio: float = 0.1
