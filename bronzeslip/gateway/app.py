"""HTTP application of the gateway."""

import litestar
from litestar import datastructures
from litestar import di

from bronzeslip.gateway import api_description
from bronzeslip.gateway import error_handlers
from bronzeslip.gateway import generations_api
from bronzeslip.gateway import operators_api
from bronzeslip.gateway import services_api
from bronzeslip.gateway import state
from bronzeslip.http import health
from bronzeslip.metrics import page


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
            page.create_handler(parts.metrics),
        ],
        dependencies={"parts": di.Provide(provide_parts, sync_to_thread=False)},
        exception_handlers=error_handlers.ErrorHandlers(
            parts.metrics
        ).by_type(),
        request_max_body_size=parts.settings.max_body_bytes,
        state=datastructures.State(
            {"body_timeout_s": parts.settings.body_timeout_s}
        ),
        logging_config=None,
        openapi_config=api_description.create_config(),
    )
