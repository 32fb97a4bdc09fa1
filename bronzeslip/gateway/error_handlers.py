"""Exception handlers that respond with problem documents."""

import litestar
from litestar import exceptions
from litestar import types

from bronzeslip import errors as base_errors
from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.configuration import errors as configuration_errors
from bronzeslip.gateway import errors
from bronzeslip.gateway import problem
from bronzeslip.metrics import gateway_metrics

logger = logs.get_logger(__name__)

REQUEST_ID_HEADER = "x-request-id"
_ERROR_TYPES: dict[int, type[errors.GatewayError]] = {
    error_type.status: error_type
    for error_type in (
        errors.RouteNotFoundError,
        errors.MethodNotAllowedError,
        errors.TooLargeError,
    )
}


class ErrorHandlers:
    """Converts exceptions of route handlers to responses and counts them."""

    def __init__(self, metrics: gateway_metrics.GatewayMetrics) -> None:
        self._metrics = metrics

    def by_type(self) -> types.ExceptionHandlersMap:
        """Returns the exception handlers by exception type."""
        return {
            base_errors.BronzeslipError: self._on_error,
            exceptions.HTTPException: self._on_http_exception,
            Exception: self._on_unexpected,
        }

    def _on_error(
        self, _: litestar.Request, error: base_errors.BronzeslipError
    ) -> litestar.Response:
        if isinstance(error, configuration_errors.NoConfigurationError):
            error = errors.UnavailableError(
                error.message, retry_after_s=error.retry_after_s
            )
        return self._respond(error)

    def _on_http_exception(
        self, _: litestar.Request, error: exceptions.HTTPException
    ) -> litestar.Response:
        error_type = _ERROR_TYPES.get(error.status_code, errors.BadRequestError)
        if error.status_code >= errors.GatewayError.status:
            error_type = errors.GatewayError
        response = self._respond(error_type(error.detail))
        response.headers.update(error.headers or {})
        return response

    def _on_unexpected(
        self, request: litestar.Request, error: Exception
    ) -> litestar.Response:
        internal_error = errors.GatewayError(
            "unexpected error; see the gateway log"
        )
        internal_error.request_id = (
            getattr(error, "request_id", None) or _new_id()
        )
        logger.error(
            "gateway.unexpected_error",
            request_id=internal_error.request_id,
            route=request.scope.get("path_template", ""),
            reason=logs.describe(error),
        )
        return self._respond(internal_error)

    def _respond(self, error: base_errors.BronzeslipError) -> litestar.Response:
        self._metrics.problem_sent(error.code)
        response = problem.to_response(problem.from_error(error))
        request_id = getattr(error, "request_id", None)
        if request_id is None:
            request_id = _new_id()
            logger.warning(
                "request.refused", request_id=request_id, reason=error.code
            )
        response.headers[REQUEST_ID_HEADER] = request_id
        return response


def _new_id() -> ids.RequestId:
    return ids.RequestId(ids.random_id())
