"""Applications for other processes of the deployment."""

import litestar
from litestar import exceptions
from litestar import handlers
from litestar.exceptions import responses

from bronzeslip import logs

logger = logs.get_logger(__name__)


def create(
    *route_handlers: handlers.BaseRouteHandler,
) -> litestar.Litestar:
    """Creates an application that logs unexpected exceptions as events."""
    return litestar.Litestar(
        route_handlers=route_handlers,
        exception_handlers={
            RecursionError: _on_recursion,
            Exception: _on_exception,
        },
        openapi_config=None,
        logging_config=None,
    )


def _on_recursion(
    request: litestar.Request, _: RecursionError
) -> litestar.Response:
    """Rejects a body that is too deeply nested to be decoded."""
    return responses.create_exception_response(
        request, exceptions.ClientException("the body is nested too deeply")
    )


def _on_exception(
    request: litestar.Request, error: Exception
) -> litestar.Response:
    if not isinstance(error, exceptions.HTTPException):
        logger.error(
            "http.unexpected_error",
            route=request.scope.get("path_template", ""),
            reason=logs.describe(error),
        )
    return responses.create_exception_response(request, error)
