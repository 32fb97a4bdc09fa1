"""Reads the settings file that the platform provides for each process."""

import pathlib
import tomllib
from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.entry import vm_config
from bronzeslip.platform import errors
from bronzeslip.platform import process_limits

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "BRONZESLIP_BOOT"

_MS_PER_S = 1000


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct):
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    drain_ms: float


class _Platform(msgspec.Struct):
    address: str


class _BootFile(msgspec.Struct):
    node_name: str
    ip: str
    # First and last port for communication between nodes.
    port_range: tuple[int, int]
    zone: str
    zones: dict[str, str]
    listen: _Listen
    bounds: _Bounds
    platform: _Platform
    limits: Any = None


def read(path: pathlib.Path) -> vm_config.VmConfig:
    """Reads a settings file.

    Args:
        path: Path of the file.

    Raises:
        errors.BootFileError: If the file can't be read, is not valid TOML, or
            has a missing or mistyped field.
    """
    try:
        with path.open("rb") as file:
            document: dict[str, Any] = tomllib.load(file)
        boot_settings = msgspec.convert(document, _BootFile)
    except (OSError, tomllib.TOMLDecodeError, msgspec.MsgspecError) as error:
        raise errors.BootFileError(f"{path}: {error}") from error
    return _to_vm_config(boot_settings)


def _to_vm_config(boot_settings: _BootFile) -> vm_config.VmConfig:
    return vm_config.VmConfig(
        vm_id=ids.VmId(boot_settings.node_name),
        failure_domain=ids.FailureDomainName(boot_settings.zone),
        regions={
            ids.FailureDomainName(domain): ids.RegionName(region)
            for domain, region in boot_settings.zones.items()
        },
        caller_address=parse_address(boot_settings.listen.front),
        readiness_address=parse_address(boot_settings.listen.ready),
        store_address=parse_address(boot_settings.platform.address),
        peer_address=vm_config.SocketAddress(
            boot_settings.ip, boot_settings.port_range[0]
        ),
        bounds=vm_config.PlaceBounds(
            grace_s=boot_settings.bounds.grace_s,
            retry_ratio=boot_settings.bounds.retry_ratio,
            retry_slack=boot_settings.bounds.retry_slack,
            retry_window_s=boot_settings.bounds.retry_window_s,
            drain_s=boot_settings.bounds.drain_ms / _MS_PER_S,
        ),
        process_limits=process_limits.decode(boot_settings.limits),
    )


def parse_address(text: str) -> vm_config.SocketAddress:
    """Parses an address of the form HOST:PORT.

    Raises:
        errors.AddressError: If the text is not of that form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise errors.AddressError(
            f"address {text!r} is not of the form HOST:PORT"
        )
    return vm_config.SocketAddress(host, int(port))
