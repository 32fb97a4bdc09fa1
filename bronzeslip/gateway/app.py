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


def create(gateway_state: state.GatewayState) -> litestar.Litestar:
    """Creates the application that serves a gateway's routes."""

    def provide_gateway_state() -> state.GatewayState:
        return gateway_state

    return litestar.Litestar(
        route_handlers=[
            generations_api.list_models,
            generations_api.chat_completions,
            generations_api.completions,
            services_api.call_service,
            operators_api.read_configuration,
            operators_api.read_status,
            operators_api.submit_patch,
            *health.handlers(lambda: gateway_state.ready),
            page.handler(gateway_state.metrics),
        ],
        dependencies={
            "gateway_state": di.Provide(
                provide_gateway_state, sync_to_thread=False
            )
        },
        exception_handlers=error_handlers.ErrorHandlers(
            gateway_state.metrics
        ).by_type(),
        request_max_body_size=gateway_state.settings.max_body_bytes,
        state=datastructures.State(
            {"body_timeout_s": gateway_state.settings.body_timeout_s}
        ),
        logging_config=None,
        openapi_config=api_description.create_config(),
    )
