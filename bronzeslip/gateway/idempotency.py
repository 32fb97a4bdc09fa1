"""Validation of idempotency keys."""

from bronzeslip.gateway import errors

KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotency-Replayed"
MAX_KEY_CHARACTERS = 255


def require_key(value: str | None) -> str:
    """Returns the idempotency key of a call that is run at most once.

    Raises:
        errors.BadRequestError: If the key is missing or too long.
    """
    if not value:
        raise errors.BadRequestError(
            f"the service requires the header {KEY_HEADER}"
        )
    if len(value) > MAX_KEY_CHARACTERS:
        raise errors.BadRequestError(
            f"{KEY_HEADER} is longer than {MAX_KEY_CHARACTERS} characters"
        )
    return value
