"""Settings shared by the gateway and sidecar daemons."""

import dataclasses

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.settings import errors
from bronzeslip.settings import http
from bronzeslip.settings import text_format
from bronzeslip.settings.setting import setting

_MIN_MISSED_HEARTBEATS = 2


@dataclasses.dataclass(frozen=True)
class CommonSettings(http.HttpSettings):
    """Settings common to the gateway and the sidecar."""

    vm_id: ids.VmId = setting("id of the VM this process runs on", "identity")
    region: ids.RegionName = setting("region of the VM", "identity")
    failure_domain: ids.FailureDomainName = setting(
        "failure domain of the VM", "identity"
    )
    advertise_address: str = setting(
        "IP address advertised to other processes",
        "network",
        default="127.0.0.1",
        value_format=text_format.IP_ADDRESS,
    )
    peer_port: int = setting(
        "port for peer connections; 0 selects a free port",
        "network",
        default=0,
        minimum=0,
        maximum=http.MAX_PORT,
    )
    advertise_peer_port: int = setting(
        "peer port advertised to peers; 0 advertises the listening port",
        "network",
        default=0,
        minimum=0,
        maximum=http.MAX_PORT,
    )
    peer_key: str = setting(
        "shared key that this process presents to its peers",
        "security",
        secret=True,
    )
    accepted_peer_keys: tuple[str, ...] = setting(
        "additional shared keys accepted from peers, for key rotation",
        "security",
        default=(),
        secret=True,
    )
    platform_url: str = setting(
        "base URL of the platform",
        "platform",
        value_format=text_format.HTTP_URL,
    )
    platform_timeout_s: float = setting(
        "timeout of one call to the platform, in seconds",
        "platform",
        default=2.0,
        minimum=0.05,
        maximum=60,
    )
    heartbeat_interval_s: float = setting(
        "time between heartbeats on a peer connection, in seconds",
        "network",
        default=0.5,
        minimum=0.05,
        maximum=10,
    )
    peer_silence_timeout_s: float = setting(
        "silence after which a peer connection is closed, in seconds",
        "network",
        default=1.5,
        minimum=0.1,
        maximum=60,
    )
    peer_certificate_file: str | None = setting(
        "certificate chain presented to peers, in PEM format, "
        "for the name bronzeslip-peer",
        "tls",
        default=None,
    )
    peer_private_key_file: str | None = setting(
        "private key of the peer certificate, in PEM format",
        "tls",
        default=None,
    )
    peer_ca_file: str | None = setting(
        "CA certificates that sign the peer certificates, in PEM format",
        "tls",
        default=None,
    )
    relay_heartbeat_interval_s: float = setting(
        "time between heartbeats of a relay to its followers, in seconds",
        "network",
        default=0.9,
        minimum=0.05,
        maximum=10,
    )
    relay_silence_timeout_s: float = setting(
        "silence after which a follower abandons its relay, in seconds",
        "network",
        default=1.8,
        minimum=0.1,
        maximum=60,
    )
    follower_heartbeat_interval_s: float = setting(
        "time between heartbeats of a follower to its relay, in seconds",
        "network",
        default=3.0,
        minimum=0.05,
        maximum=60,
    )
    seed_peers: tuple[str, ...] = setting(
        "peer addresses of gateways to contact when no other is known",
        "network",
        default=(),
    )
    drain_notice_s: float = setting(
        "time to keep serving after readiness fails, in seconds",
        "shutdown",
        default=0.5,
        minimum=0,
        maximum=60,
    )
    log_format: logs.LogFormat = setting(
        "format of log lines", "logs", default=logs.LogFormat.KEY_VALUE
    )
    log_level: logs.LogLevel = setting(
        "minimum level of log lines", "logs", default=logs.LogLevel.INFO
    )

    def check(self) -> None:
        """Validates constraints between settings.

        Raises:
            errors.SettingsError: If settings conflict; the message names the
                flag, the value and the allowed values.
        """
        self._check_peer_silence_timeout()
        super().check()
        self._check_files(
            "peer_certificate_file", "peer_private_key_file", "peer_ca_file"
        )

    def _check_peer_silence_timeout(self) -> None:
        min_timeout_s = _MIN_MISSED_HEARTBEATS * self.heartbeat_interval_s
        if self.peer_silence_timeout_s < min_timeout_s:
            raise errors.SettingsError(
                f"--peer-silence-timeout-s: {self.peer_silence_timeout_s} is "
                f"not allowed; allowed: at least twice "
                f"--heartbeat-interval-s, which is {self.heartbeat_interval_s}"
            )
