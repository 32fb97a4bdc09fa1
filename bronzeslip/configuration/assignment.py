"""Declaration of the model and adapters that a pool's engines load."""

import msgspec


class Assignment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What every engine of a pool is to have loaded.

    Attributes:
        model: Model.
        model_version: Version of the model.
        role: Role of the engine.
        adapters: Versions of the adapters by name.
        weights_bytes: Size of the model's weights, in bytes.
        max_unavailable: Most engines of the pool that change at once.
    """

    model: str
    model_version: str
    role: str = "serve"
    adapters: dict[str, str] = {}
    weights_bytes: int = 0
    max_unavailable: int = 1
