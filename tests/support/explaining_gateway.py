"""Gateway that explains its decisions, without network."""

from bronzeslip.explanation import assembly
from bronzeslip.explanation import explanation_request
from bronzeslip.platform import caller_response
from bronzeslip.routes import kind
from bronzeslip.routes import route
from tests.support import forwarding_parts
from tests.support import scripted_endpoints


class ExplainingGateway:
    """Explains requests of the default host and path.

    Attributes:
        components: Components of the gateway.
        explainer: Explains its decisions.
    """

    def __init__(self, endpoints, settings=forwarding_parts.SETTINGS):
        self.components = forwarding_parts.create_components(
            scripted_endpoints.ScriptedEndpointClient({}), endpoints, settings
        )
        self.explainer = assembly.create(
            forwarding_parts.VM_CONFIG,
            self.components,
            forwarding_parts.create_single_gateway(),
            caller_response.http_status,
        )

    def adopt(
        self,
        request_kind=kind.RequestKind.STREAM,
        workspace_regions=None,
        **changes,
    ):
        """Puts a configuration with one route in force."""
        services = (
            route.WeightedService(forwarding_parts.ENGINE_SERVICE.name),
        )
        values = {"services": services, **changes}
        self.components.current.adopt(
            forwarding_parts.create_table(
                forwarding_parts.create_route(request_kind, **values),
                workspace_regions=workspace_regions,
            )
        )

    async def explain(self, **changes):
        """Explains a request with a valid key."""
        values = {
            "host": "h.example",
            "path": "/p/x",
            "key": forwarding_parts.API_KEY,
            "prompt_tokens": 1000,
            "output_tokens": 200,
            **changes,
        }
        return await self.explainer.explain(
            explanation_request.ExplanationRequest(**values)
        )
