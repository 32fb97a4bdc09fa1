"""Settings of bronzeslipctl explain."""

import dataclasses

from bronzeslip.settings import errors
from bronzeslip.settings import operator
from bronzeslip.settings import text_format
from bronzeslip.settings.setting import setting


@dataclasses.dataclass(frozen=True)
class ExplainSettings:
    """Settings of one invocation of bronzeslipctl explain."""

    peer_address: str = setting(
        "address of the peer port of the entry gateway to ask",
        "gateway",
        value_format=text_format.SOCKET_ADDRESS,
    )
    api_key: str | None = setting(
        "API key of the request to explain",
        "request",
        default=None,
        secret=True,
        environment_only=True,
    )
    api_key_file: str | None = setting(
        "file that contains the API key of the request to explain",
        "request",
        default=None,
    )
    request_timeout_s: float = setting(
        "timeout of one request to a gateway, in seconds",
        "gateway",
        default=5.0,
        minimum=0.1,
        maximum=600,
    )
    output: operator.OutputFormat = setting(
        "output format", "output", default=operator.OutputFormat.TEXT
    )

    def check(self) -> None:
        """Validates constraints between settings.

        Raises:
            errors.SettingsError: If settings conflict; the message names the
                flag, the value and the allowed values.
        """
        if self.api_key and self.api_key_file:
            raise errors.SettingsError(
                f"--api-key-file: {self.api_key_file!r} is not allowed; "
                "allowed: unset, because BRONZESLIP_API_KEY is set"
            )
