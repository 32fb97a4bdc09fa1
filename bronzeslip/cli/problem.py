"""Conversion of a gateway's problem documents into command errors."""

import httpx
import msgspec

from bronzeslip.cli import errors
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted

_ERRORS_BY_CODE: dict[str, type[errors.CommandError]] = {
    "configuration-stale": errors.StaleConfigurationError,
    "configuration-invalid": errors.InvalidDeclarationError,
}


class ProblemDocument(msgspec.Struct, frozen=True):
    """Members of a problem document that the commands use."""

    code: str = ""
    detail: str = ""


def to_error(url: str, response: httpx.Response) -> errors.CommandError:
    """Converts an error response of a gateway into a command error."""
    try:
        document = untrusted.from_json(response.content, ProblemDocument)
    except decoding_errors.UndecodableError:
        document = ProblemDocument()
    detail = document.detail or f"status {response.status_code}"
    if document.code in _ERRORS_BY_CODE:
        return _ERRORS_BY_CODE[document.code](detail)
    if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
        return errors.UnreachableError(f"{url}: {detail}")
    return errors.CommandError(f"{url}: {detail}")
