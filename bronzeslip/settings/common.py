"""Settings shared by the daemons."""

import dataclasses

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.settings.setting import setting

MAX_PORT = 65535


@dataclasses.dataclass(frozen=True)
class CommonSettings:
    """Settings that the gateway and the sidecar share."""

    vm_id: ids.VmId = setting("id of the VM this process runs on", "identity")
    region: ids.RegionName = setting("region of the VM", "identity")
    failure_domain: ids.FailureDomainName = setting(
        "failure domain of the VM", "identity"
    )
    listen_address: str = setting(
        "IP number to listen on", "network", default="127.0.0.1"
    )
    advertise_address: str = setting(
        "IP number given to other processes", "network", default="127.0.0.1"
    )
    http_port: int = setting(
        "port for HTTP; 0 lets the system choose",
        "network",
        default=0,
        minimum=0,
        maximum=MAX_PORT,
    )
    peer_port: int = setting(
        "port for the system's own processes; 0 lets the system choose",
        "network",
        default=0,
        minimum=0,
        maximum=MAX_PORT,
    )
    advertise_peer_port: int = setting(
        "peer port given to other processes; 0 gives the one listened on",
        "network",
        default=0,
        minimum=0,
        maximum=MAX_PORT,
    )
    peer_key: str = setting(
        "shared key of the system's own processes", "security", secret=True
    )
    platform_url: str = setting("base URL of the platform", "platform")
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
        "silence after which a peer connection is given up, in seconds",
        "network",
        default=1.5,
        minimum=0.1,
        maximum=60,
    )
    relay_heartbeat_interval_s: float = setting(
        "time between heartbeats of a relay to its followers, in seconds",
        "network",
        default=0.9,
        minimum=0.05,
        maximum=10,
    )
    relay_silence_timeout_s: float = setting(
        "silence after which a follower gives its relay up, in seconds",
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
        "peer addresses of gateways to ask when no other is known",
        "network",
        default=(),
    )
    drain_notice_s: float = setting(
        "time to stay open after readiness fails, in seconds",
        "shutdown",
        default=0.5,
        minimum=0,
        maximum=60,
    )
    log_format: logs.LogFormat = setting(
        "form of log lines", "logs", default=logs.LogFormat.KEY_VALUE
    )
    log_level: str = setting("lowest level logged", "logs", default="info")
