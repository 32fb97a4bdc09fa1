"""Request whose destination is to be explained."""

import msgspec

from bronzeslip.decoding import fields


class ExplanationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What determines where a request is sent.

    Attributes:
        host: Host of the request, without a port.
        path: Decoded path of the request.
        key: API key of a workspace, or None.
        prompt_tokens: Length of the prompt, in tokens, or None.
        output_tokens: Length of the output, in tokens, or None.
    """

    host: str
    path: str
    key: str | None = None
    prompt_tokens: fields.Count | None = None
    output_tokens: fields.Count | None = None
