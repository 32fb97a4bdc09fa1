"""Routes of the operator API."""

import litestar
import msgspec

from bronzeslip import ids
from bronzeslip.configuration import errors as configuration_errors
from bronzeslip.configuration import record
from bronzeslip.configuration import store
from bronzeslip.gateway import api_description
from bronzeslip.gateway import errors
from bronzeslip.gateway import request_body
from bronzeslip.gateway import state
from bronzeslip.spread import status


class PatchAnswer(msgspec.Struct, frozen=True):
    """Response to an accepted patch.

    Attributes:
        number: Number of the configuration that contains the patch.
    """

    number: ids.ConfigurationNumber


@litestar.get(
    "/v1/configuration",
    operation_class=api_description.AuthenticatedOperation,
    summary="Reads the current configuration",
)
async def read_configuration(
    request: litestar.Request, gateway_state: state.GatewayState
) -> record.ConfigurationRecord:
    """Reads the current configuration from the platform."""
    _check_operator(request, gateway_state)
    try:
        return await gateway_state.configuration_store.read()
    except configuration_errors.ConfigurationError as error:
        raise _to_gateway_error(error) from error


@litestar.get(
    "/v1/configuration/status",
    operation_class=api_description.AuthenticatedOperation,
    summary="Tells which number is in force where",
)
async def read_status(
    request: litestar.Request, gateway_state: state.GatewayState
) -> status.SpreadStatus:
    """Collects the active configuration number of every process from relays."""
    _check_operator(request, gateway_state)
    return await gateway_state.status_collector.collect()


@litestar.post(
    "/v1/configuration/patches",
    status_code=200,
    operation_class=api_description.PatchOperation,
    summary="Submits a patch",
)
async def submit_patch(
    request: litestar.Request, gateway_state: state.GatewayState
) -> PatchAnswer:
    """Applies a patch if its base number is the current number."""
    _check_operator(request, gateway_state)
    patch_request = await request_body.decode(request, store.PatchRequest)
    try:
        accepted = await gateway_state.configuration_store.apply(patch_request)
    except configuration_errors.ConfigurationError as error:
        raise _to_gateway_error(error) from error
    await gateway_state.configuration.activate(accepted.current)
    return PatchAnswer(accepted.number)


def _check_operator(
    request: litestar.Request, gateway_state: state.GatewayState
) -> None:
    gateway_state.access_control.check_operator(
        request.headers.get("authorization")
    )


def _to_gateway_error(
    error: configuration_errors.ConfigurationError,
) -> errors.GatewayError:
    error_types: dict[type, type[errors.GatewayError]] = {
        configuration_errors.StaleConfigurationError: errors.ConflictError,
        configuration_errors.InvalidDocumentError: errors.BadRequestError,
        configuration_errors.OutcomeUnknownError: errors.OutcomeUnknownError,
    }
    error_type = error_types.get(type(error), errors.UnavailableError)
    converted = error_type(error.message, retry_after_s=error.retry_after_s)
    converted.code = error.code
    if isinstance(error, configuration_errors.StaleConfigurationError):
        converted.current_number = error.current_number
    return converted
