"""Idempotency keys of callers."""

from bronzeslip.gateway import errors

KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotency-Replayed"
MAX_KEY_CHARACTERS = 255


def require_key(value: str | None) -> str:
    """Checks the key of a call that may not be repeated.

    Raises:
        errors.BadRequestError: If it is missing or too long.
    """
    if not value:
        raise errors.BadRequestError(
            f"the service needs the header {KEY_HEADER}"
        )
    if len(value) > MAX_KEY_CHARACTERS:
        raise errors.BadRequestError(
            f"{KEY_HEADER} is longer than {MAX_KEY_CHARACTERS} characters"
        )
    return value
