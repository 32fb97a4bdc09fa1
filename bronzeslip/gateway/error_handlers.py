"""Handlers that turn exceptions into problem documents."""

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
_KINDS: dict[int, type[errors.GatewayError]] = {
    kind.status: kind
    for kind in (
        errors.RouteNotFoundError,
        errors.MethodNotAllowedError,
        errors.TooLargeError,
    )
}


class ErrorHandlers:
    """Answers every exception of a handler and counts the answers."""

    def __init__(self, metrics: gateway_metrics.GatewayMetrics) -> None:
        self._metrics = metrics

    def by_type(self) -> types.ExceptionHandlersMap:
        """Returns the handlers by the exceptions that they take."""
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
        return self._answer(error)

    def _on_http_exception(
        self, _: litestar.Request, error: exceptions.HTTPException
    ) -> litestar.Response:
        kind = _KINDS.get(error.status_code, errors.BadRequestError)
        if error.status_code >= errors.GatewayError.status:
            kind = errors.GatewayError
        answer = self._answer(kind(error.detail))
        answer.headers.update(error.headers or {})
        return answer

    def _on_unexpected(
        self, request: litestar.Request, error: Exception
    ) -> litestar.Response:
        converted = errors.GatewayError("an unexpected error; see the log")
        converted.request_id = getattr(error, "request_id", None) or _new_id()
        logger.error(
            "gateway.unexpected_error",
            request_id=converted.request_id,
            route=request.scope.get("path_template", ""),
            reason=logs.describe(error),
        )
        return self._answer(converted)

    def _answer(self, error: base_errors.BronzeslipError) -> litestar.Response:
        self._metrics.count_problem(error.code)
        answer = problem.to_response(problem.from_error(error))
        request_id = getattr(error, "request_id", None)
        if request_id is None:
            request_id = _new_id()
            logger.warning(
                "request.refused", request_id=request_id, reason=error.code
            )
        answer.headers[REQUEST_ID_HEADER] = request_id
        return answer


def _new_id() -> ids.RequestId:
    return ids.RequestId(ids.random_id())
