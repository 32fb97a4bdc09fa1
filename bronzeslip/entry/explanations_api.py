"""HTTP interface through which operators ask where a request would go."""

import litestar
from litestar import handlers

from bronzeslip.explanation import explainer
from bronzeslip.explanation import explanation
from bronzeslip.explanation import explanation_request

_OK_STATUS = 200


def handler(explaining: explainer.Explainer) -> handlers.BaseRouteHandler:
    """Returns the handler of POST /explanations.

    Args:
        explaining: Explains the decisions of this gateway.
    """

    @litestar.post("/explanations", status_code=_OK_STATUS)
    async def explain(
        data: explanation_request.ExplanationRequest,
    ) -> explanation.Explanation:
        return await explaining.explain(data)

    return explain
