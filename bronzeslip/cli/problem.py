"""Problem documents of a gateway, turned into errors of commands."""

import httpx
import msgspec

from bronzeslip.cli import errors

_ERRORS_BY_CODE: dict[str, type[errors.CommandError]] = {
    "configuration-stale": errors.StaleError,
    "configuration-invalid": errors.InvalidDeclarationError,
}


class ProblemAnswer(msgspec.Struct, frozen=True):
    """The members of a problem document that a command uses."""

    code: str = ""
    detail: str = ""


def to_error(url: str, response: httpx.Response) -> errors.CommandError:
    """Converts an error answer of a gateway."""
    try:
        answer = msgspec.json.decode(response.content, type=ProblemAnswer)
    except msgspec.MsgspecError:
        answer = ProblemAnswer()
    detail = answer.detail or f"status {response.status_code}"
    if answer.code in _ERRORS_BY_CODE:
        return _ERRORS_BY_CODE[answer.code](detail)
    if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
        return errors.UnreachableError(f"{url}: {detail}")
    return errors.CommandError(f"{url}: {detail}")
