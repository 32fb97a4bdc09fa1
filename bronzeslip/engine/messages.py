"""Messages of the interface to a model engine."""

import enum

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import fields


class GenerationRequest(msgspec.Struct, frozen=True):
    """Request to an engine to run a generation.

    Attributes:
        generation_id: Id of the generation, unique across all engines.
        model: Model to use.
        prompt: Prompt as text.
        max_tokens: Maximum number of tokens to generate.
        priority: Higher values are scheduled first and preempted last.
    """

    generation_id: ids.GenerationId
    model: str
    prompt: str
    max_tokens: int
    priority: int


class StreamEventKind(enum.Enum):
    """Kind of a token stream event."""

    TOKENS = "tokens"
    FINISHED = "finished"


class StreamEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a token stream.

    Attributes:
        kind: Kind of the event.
        first_index: Index of the first token.
        texts: Texts of consecutive tokens.
        finish_reason: "stop" or "length", in a finished event.
        prompt_token_count: Number of prompt tokens, in a finished event.
        preemption_count: Number of preemptions, in a finished event.
    """

    kind: StreamEventKind
    first_index: fields.Count = 0
    texts: list[str] = []
    finish_reason: str = ""
    prompt_token_count: fields.Count = 0
    preemption_count: fields.Count = 0


class EngineLoad(msgspec.Struct, frozen=True):
    """Load report of an engine, which lags behind its state.

    Attributes:
        running: Sequences in the batch.
        waiting: Sequences in the queue, including preempted ones.
        blocks_used: Cache blocks in use.
        blocks_total: Total number of cache blocks.
        block_tokens: Tokens that one block holds.
        step_time_s: Duration of the latest step, in seconds.
        preemptions_total: Preemptions since the engine started.
        leaving: Whether the engine is about to be reclaimed.
    """

    running: fields.Count
    waiting: fields.Count
    blocks_used: fields.Count
    blocks_total: fields.Count
    block_tokens: fields.Count
    step_time_s: fields.Quantity
    preemptions_total: fields.Count
    leaving: bool = False


class CacheEventKind(enum.Enum):
    """Kind of change to a cached prefix block."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache.

    Attributes:
        sequence: Sequence number of the event; a gap means lost events.
        kind: Kind of the change.
        block_hash: Hash of the prompt up to the end of the block.
    """

    sequence: fields.Count
    kind: CacheEventKind
    block_hash: int


class OrderKind(enum.Enum):
    """Kind of an order to an engine."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    SET_ROLE = "set-role"


class EngineOrder(msgspec.Struct, frozen=True):
    """Order to an engine to load a model or adapter, or to change its role.

    Attributes:
        kind: Kind of the order.
        name: Name of the model or adapter, or the role.
        version: Version of the model or adapter.
        fencing_number: Fencing number of the lease that covers the order.
    """

    kind: OrderKind
    name: str
    version: str
    fencing_number: int


class EngineState(msgspec.Struct, frozen=True):
    """Model and adapters that an engine has loaded, and its role.

    Attributes:
        model: Name of the model.
        model_version: Version of the model.
        adapters: Versions of the adapters by name.
        role: Role of the engine.
        fencing_number: Highest fencing number seen, 0 if none is tracked.
    """

    model: str
    model_version: str
    adapters: dict[str, str]
    role: str
    fencing_number: int
