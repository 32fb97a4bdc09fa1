"""Settings of an HTTP server."""

import dataclasses
import os

from bronzeslip.settings import errors
from bronzeslip.settings import text_format
from bronzeslip.settings.setting import setting

MAX_PORT = 65535


@dataclasses.dataclass(frozen=True)
class HttpSettings:
    """Addresses, limits and TLS files of an HTTP server."""

    listen_address: str = setting(
        "IP address to listen on",
        "network",
        default="127.0.0.1",
        value_format=text_format.IP_ADDRESS,
    )
    http_port: int = setting(
        "port for HTTP; 0 selects a free port",
        "network",
        default=0,
        minimum=0,
        maximum=MAX_PORT,
    )
    max_header_bytes: int = setting(
        "maximum size of an HTTP request line with headers, in bytes",
        "limits",
        default=32_768,
        minimum=1_024,
        maximum=1_048_576,
    )
    header_timeout_s: float = setting(
        "timeout for receiving the headers of an HTTP request, in seconds",
        "limits",
        default=10.0,
        minimum=0.1,
        maximum=600,
    )
    caller_stall_timeout_s: float = setting(
        "time after which a caller that stops reading is dropped, in seconds",
        "limits",
        default=30.0,
        minimum=0.1,
        maximum=3600,
    )
    http_certificate_file: str | None = setting(
        "certificate chain for https, in PEM format", "tls", default=None
    )
    http_private_key_file: str | None = setting(
        "private key of the https certificate, in PEM format",
        "tls",
        default=None,
    )

    def check(self) -> None:
        """Validates constraints between settings.

        Raises:
            errors.SettingsError: If settings conflict; the message names the
                flag, the value and the allowed values.
        """
        self._check_files("http_certificate_file", "http_private_key_file")

    def _check_files(self, *names: str) -> None:
        values = {name: getattr(self, name) for name in names}
        if not any(values.values()):
            return
        for name, value in values.items():
            flag = "--" + name.replace("_", "-")
            if value is None:
                raise errors.SettingsError(
                    f"{flag}: missing; allowed: a file, because "
                    "another file of the group is set"
                )
            if not os.access(value, os.R_OK):
                raise errors.SettingsError(
                    f"{flag}: {value!r} is not allowed; "
                    "allowed: a readable file"
                )
