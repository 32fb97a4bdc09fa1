"""What happened in one trial, as seen from outside."""

import enum

import msgspec


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    NOT_RUN = "not-run"
    INCOMPLETE = "incomplete"
    OUTCOME_UNKNOWN = "outcome-unknown"
    IN_PROGRESS = "in-progress"
    INTERRUPTED = "broken-off"


class ReceivedToken(msgspec.Struct, frozen=True):
    """One token as its text tells.

    Attributes:
        prompt_mark: Mark of the prompt it answers.
        run_mark: Mark of the generation it comes from.
        index: Its index in the generation.
    """

    prompt_mark: str
    run_mark: str
    index: int


class RequestResult(msgspec.Struct, frozen=True):
    """One request of a caller and what came back.

    Attributes:
        request: Name of the request in the trial.
        outcome: How it ended.
        prompt_mark: Mark of its prompt, for a generation.
        expected_tokens: Length of the whole answer, for a generation.
        tokens: Tokens received, in the order received.
        idempotency_key: Key sent, for a call that must not repeat.
        retry_after_s: When the caller was told to come back, or None.
        in_flight_at_drain: Whether it was running when a graceful shutdown
            began.
    """

    request: str
    outcome: Outcome
    prompt_mark: str = ""
    expected_tokens: int = 0
    tokens: tuple[ReceivedToken, ...] = ()
    idempotency_key: str = ""
    retry_after_s: float | None = None
    in_flight_at_drain: bool = False


class EndpointRun(msgspec.Struct, frozen=True):
    """One run of a call that must not repeat, as the endpoint counted it.

    Attributes:
        endpoint: Endpoint that ran it.
        idempotency_key: Key of the call.
    """

    endpoint: str
    idempotency_key: str


class EndpointLeaving(msgspec.Struct, frozen=True):
    """An endpoint was told to leave.

    Attributes:
        endpoint: The endpoint.
        at_s: Time on the trial's clock, in seconds.
    """

    endpoint: str
    at_s: float


class WorkStarted(msgspec.Struct, frozen=True):
    """An endpoint began new work.

    Attributes:
        endpoint: The endpoint.
        at_s: Time on the trial's clock, in seconds.
    """

    endpoint: str
    at_s: float


class PatchAccepted(msgspec.Struct, frozen=True):
    """An operator was told that a patch is accepted.

    Attributes:
        base_number: Number it was made against.
        number: Number it produced.
        patch_id: Id of the patch.
    """

    base_number: int
    number: int
    patch_id: str


class NumberInEffect(msgspec.Struct, frozen=True):
    """A process reported the configuration number it has in force.

    Attributes:
        process: One incarnation of a process.
        number: The number.
    """

    process: str
    number: int


class TrialEnd(msgspec.Struct, frozen=True):
    """Number each process had in force at the end of the trial.

    Attributes:
        numbers: Number by process, for the processes that still run.
    """

    numbers: dict[str, int]


Event = (
    RequestResult
    | EndpointRun
    | EndpointLeaving
    | WorkStarted
    | PatchAccepted
    | NumberInEffect
    | TrialEnd
)
