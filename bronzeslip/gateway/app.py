"""HTTP application of the gateway."""

import litestar
from litestar import di
from litestar import exceptions
from litestar import openapi

from bronzeslip import errors as base_errors
from bronzeslip import logs
from bronzeslip.configuration import errors as configuration_errors
from bronzeslip.gateway import errors
from bronzeslip.gateway import generations_api
from bronzeslip.gateway import operators_api
from bronzeslip.gateway import problem
from bronzeslip.gateway import services_api
from bronzeslip.gateway import state
from bronzeslip.http import health

logger = logs.get_logger(__name__)

_TITLE = "bronzeslip"
_VERSION = "0.1.0"


def create(parts: state.GatewayState) -> litestar.Litestar:
    """Creates the application over the parts of a gateway."""

    def provide_parts() -> state.GatewayState:
        return parts

    return litestar.Litestar(
        route_handlers=[
            generations_api.list_models,
            generations_api.chat_completions,
            generations_api.completions,
            services_api.call_service,
            operators_api.read_configuration,
            operators_api.read_status,
            operators_api.submit_patch,
            *health.handlers(lambda: parts.ready),
        ],
        dependencies={"parts": di.Provide(provide_parts, sync_to_thread=False)},
        exception_handlers={
            base_errors.BronzeslipError: _on_error,
            exceptions.HTTPException: _on_http_exception,
            Exception: _on_unexpected,
        },
        request_max_body_size=parts.settings.max_body_bytes,
        logging_config=None,
        openapi_config=openapi.OpenAPIConfig(title=_TITLE, version=_VERSION),
    )


def _on_error(
    _: litestar.Request, error: base_errors.BronzeslipError
) -> litestar.Response:
    if isinstance(error, configuration_errors.NoConfigurationError):
        error = errors.UnavailableError(
            error.message, retry_after_s=error.retry_after_s
        )
    return problem.to_response(problem.from_error(error))


def _on_http_exception(
    _: litestar.Request, error: exceptions.HTTPException
) -> litestar.Response:
    kinds = {
        kind.status: kind
        for kind in (
            errors.BadRequestError,
            errors.NotFoundError,
            errors.TooLargeError,
        )
    }
    kind = kinds.get(error.status_code, errors.BadRequestError)
    if error.status_code >= errors.GatewayError.status:
        kind = errors.GatewayError
    converted = kind(error.detail)
    converted.status = error.status_code
    return problem.to_response(problem.from_error(converted))


def _on_unexpected(
    request: litestar.Request, error: Exception
) -> litestar.Response:
    logger.error(
        "gateway.unexpected_error",
        path=request.url.path,
        reason=f"{type(error).__name__}: {error}",
    )
    converted = errors.GatewayError("an unexpected error; see the log")
    return problem.to_response(problem.from_error(converted))
