"""Events of one trial, as observed from outside the system."""

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
    INTERRUPTED = "interrupted"


class ReceivedToken(msgspec.Struct, frozen=True):
    """One received token, as read from its text.

    Attributes:
        prompt_fingerprint: Fingerprint of the prompt that the token belongs to.
        run_prefix: Prefix of the id of the generation that produced it.
        index: Index of the token in the generation.
    """

    prompt_fingerprint: str
    run_prefix: str
    index: int


class RequestResult(msgspec.Struct, frozen=True):
    """One request of a caller and its result.

    Attributes:
        request: Name of the request in the trial.
        outcome: How the request ended.
        prompt_fingerprint: Fingerprint of its prompt, for a generation.
        expected_tokens: Length of the complete output, for a generation.
        tokens: Received tokens, in order of arrival.
        idempotency_key: Idempotency key, for a call that must not repeat.
        retry_after_s: Delay before a retry that the caller was given, in
            seconds, or None.
        in_flight_at_drain: Whether it was running when a graceful shutdown
            began.
    """

    request: str
    outcome: Outcome
    prompt_fingerprint: str = ""
    expected_tokens: int = 0
    tokens: tuple[ReceivedToken, ...] = ()
    idempotency_key: str = ""
    retry_after_s: float | None = None
    in_flight_at_drain: bool = False


class EndpointRun(msgspec.Struct, frozen=True):
    """One run of a call that must not repeat, as counted by the endpoint.

    Attributes:
        endpoint: Endpoint that ran the call.
        idempotency_key: Idempotency key of the call.
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
    """An endpoint started new work.

    Attributes:
        endpoint: The endpoint.
        at_s: Time on the trial's clock, in seconds.
    """

    endpoint: str
    at_s: float


class PatchAccepted(msgspec.Struct, frozen=True):
    """An operator was told that a patch was accepted.

    Attributes:
        base_number: Configuration number that the patch is based on.
        number: Configuration number that the patch produced.
        patch_id: Id of the patch.
    """

    base_number: int
    number: int
    patch_id: str


class NumberInForce(msgspec.Struct, frozen=True):
    """A process reported the configuration number it has in force.

    Attributes:
        process: Name of one incarnation of a process.
        number: The configuration number.
    """

    process: str
    number: int


class TrialEnd(msgspec.Struct, frozen=True):
    """Configuration numbers in force at the end of the trial.

    Attributes:
        numbers: Number of each process that is still running.
    """

    numbers: dict[str, int]


Event = (
    RequestResult
    | EndpointRun
    | EndpointLeaving
    | WorkStarted
    | PatchAccepted
    | NumberInForce
    | TrialEnd
)
