"""Settings of bronzeslipctl."""

import dataclasses
import enum

from bronzeslip import ids
from bronzeslip.settings import errors
from bronzeslip.settings import text_format
from bronzeslip.settings.setting import setting


class OutputFormat(enum.Enum):
    """Output format of bronzeslipctl."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True)
class OperatorSettings:
    """Settings of one invocation of bronzeslipctl."""

    gateway_urls: tuple[str, ...] = setting(
        "base URLs of the gateways, tried in turn",
        "gateway",
        value_format=text_format.HTTP_URLS,
    )
    credential: str | None = setting(
        "operator's credential",
        "access",
        default=None,
        secret=True,
        environment_only=True,
    )
    credential_file: str | None = setting(
        "file that contains the operator's credential", "access", default=None
    )
    ca_file: str | None = setting(
        "CA certificates trusted for https, in PEM format",
        "access",
        default=None,
    )
    operator: ids.OperatorName | None = setting(
        "operator name recorded in the patch history", "access", default=None
    )
    request_timeout_s: float = setting(
        "timeout of one request to a gateway, in seconds",
        "gateway",
        default=5.0,
        minimum=0.1,
        maximum=600,
    )
    attempts: int = setting(
        "maximum number of attempts per request",
        "gateway",
        default=6,
        minimum=1,
        maximum=1000,
    )
    retry_delay_s: float = setting(
        "delay before the first retry, doubled for each retry, in seconds",
        "gateway",
        default=0.25,
        minimum=0,
        maximum=60,
    )
    poll_interval_s: float = setting(
        "poll interval while waiting or watching, in seconds",
        "gateway",
        default=1.0,
        minimum=0.05,
        maximum=60,
    )
    output: OutputFormat = setting(
        "output format", "output", default=OutputFormat.TEXT
    )

    def check(self) -> None:
        """Validates constraints between settings.

        Raises:
            errors.SettingsError: If settings conflict; the message names the
                flag, the value and the allowed values.
        """
        if not self.gateway_urls:
            raise errors.SettingsError(
                "--gateway-urls: '' is not allowed; "
                "allowed: a comma-separated list of at least one URL"
            )
        if self.credential and self.credential_file:
            raise errors.SettingsError(
                f"--credential-file: {self.credential_file!r} is not allowed; "
                "allowed: unset, because BRONZESLIP_CREDENTIAL is set"
            )
