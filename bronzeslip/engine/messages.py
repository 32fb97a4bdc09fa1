"""Messages of the interface to a model engine."""

import enum

import msgspec

from bronzeslip import ids


class GenerationRequest(msgspec.Struct, frozen=True):
    """Asks an engine to generate.

    Attributes:
        generation_id: Id of the run, unique over all engines.
        model: Model to use.
        prompt: Prompt as text.
        max_tokens: Most tokens to produce.
        priority: Higher goes first and is preempted last.
    """

    generation_id: ids.GenerationId
    model: str
    prompt: str
    max_tokens: int
    priority: int


class StreamEventKind(enum.Enum):
    """What an event of a token stream tells."""

    TOKENS = "tokens"
    FINISHED = "finished"


class StreamEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a token stream.

    Attributes:
        kind: What the event tells.
        first_index: Index of the first token.
        texts: Consecutive tokens.
        finish_reason: "stop" or "length", at the end.
        prompt_token_count: Tokens of the prompt, at the end.
        preemption_count: Times the generation was preempted, at the end.
    """

    kind: StreamEventKind
    first_index: int = 0
    texts: list[str] = []
    finish_reason: str = ""
    prompt_token_count: int = 0
    preemption_count: int = 0


class EngineLoad(msgspec.Struct, frozen=True):
    """Load that an engine reports, with a lag.

    Attributes:
        running: Sequences in the batch.
        waiting: Sequences waiting, preempted ones included.
        blocks_used: Cache blocks in use.
        blocks_total: Cache blocks in all.
        block_tokens: Tokens that one block holds.
        step_time_s: Time of the latest step, in seconds.
        preemptions_total: Preemptions since the engine started.
        leaving: Whether the engine is about to be reclaimed.
    """

    running: int
    waiting: int
    blocks_used: int
    blocks_total: int
    block_tokens: int
    step_time_s: float
    preemptions_total: int
    leaving: bool = False


class CacheEventKind(enum.Enum):
    """What happened to a cached prefix block."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache.

    Attributes:
        sequence: Counts the engine's events; a gap means some are lost.
        kind: What happened.
        block_hash: Hash of the prompt up to the end of the block.
    """

    sequence: int
    kind: CacheEventKind
    block_hash: int


class OrderKind(enum.Enum):
    """What an order makes an engine do."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    SET_ROLE = "set-role"


class EngineOrder(msgspec.Struct, frozen=True):
    """An order to an engine.

    Attributes:
        kind: What to do.
        name: Model, adapter or role.
        version: Version of the model or adapter.
        fencing_number: Number of the assignment the order comes from.
    """

    kind: OrderKind
    name: str
    version: str
    fencing_number: int


class EngineState(msgspec.Struct, frozen=True):
    """What an engine has loaded.

    Attributes:
        model: Model loaded.
        model_version: Version of the model.
        adapters: Versions of the adapters by name.
        role: Role of the engine.
        fencing_number: Highest fencing number seen, 0 if it keeps none.
    """

    model: str
    model_version: str
    adapters: dict[str, str]
    role: str
    fencing_number: int
