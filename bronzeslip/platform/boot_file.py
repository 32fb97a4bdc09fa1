"""Reads the settings file that the platform provides for each process."""

import pathlib
import tomllib
from typing import Annotated
from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.entry import vm_config
from bronzeslip.platform import errors

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "BRONZESLIP_BOOT"

_MS_PER_S = 1000
# Far more than the platform writes.
_MAX_FILE_BYTES = 1_048_576

_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_WindowS = Annotated[float, msgspec.Meta(ge=0.001, le=1e9)]
_DurationMs = Annotated[float, msgspec.Meta(ge=1, le=1e9)]
# Each request earns this many permits, one at a time.
_Ratio = Annotated[float, msgspec.Meta(ge=0, le=100)]


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct):
    grace_s: _Amount
    retry_ratio: _Ratio
    retry_slack: _Amount
    retry_window_s: _WindowS
    drain_ms: _DurationMs


class _Platform(msgspec.Struct):
    address: str


class _BootFile(msgspec.Struct):
    node_name: _Text
    ip: _Text
    # First and last port for communication between nodes.
    port_range: tuple[_Port, _Port]
    zone: _Text
    listen: _Listen
    bounds: _Bounds
    platform: _Platform
    # Region of each failure domain. A gateway serves without it.
    zones: Any = None


def read(path: pathlib.Path) -> vm_config.VmConfig:
    """Reads a settings file.

    Args:
        path: Path of the file.

    Raises:
        errors.BootFileError: If the file can't be read, is not valid TOML, or
            has a missing, mistyped or unusable field.
    """
    try:
        return _to_vm_config(_decode(_read_text(path)))
    # tomllib raises other errors than its own for long numbers and for deeply
    # nested values.
    except (
        OSError,
        ValueError,
        RecursionError,
        msgspec.MsgspecError,
        errors.AddressError,
    ) as error:
        raise errors.BootFileError(f"{path}: {error}") from error


def _read_text(path: pathlib.Path) -> str:
    with path.open("rb") as file:
        content = file.read(_MAX_FILE_BYTES + 1)
    if len(content) > _MAX_FILE_BYTES:
        raise errors.BootFileError(
            f"{path}: larger than {_MAX_FILE_BYTES} bytes"
        )
    return content.decode()


def _decode(text: str) -> _BootFile:
    document: dict[str, Any] = tomllib.loads(text)
    return msgspec.convert(document, _BootFile)


def _to_vm_config(boot_settings: _BootFile) -> vm_config.VmConfig:
    return vm_config.VmConfig(
        vm_id=ids.VmId(boot_settings.node_name),
        failure_domain=ids.FailureDomainName(boot_settings.zone),
        regions=_to_regions(boot_settings.zones),
        caller_address=parse_address(boot_settings.listen.front),
        readiness_address=parse_address(boot_settings.listen.ready),
        store_address=parse_address(boot_settings.platform.address),
        peer_address=parse_address(
            f"{boot_settings.ip}:{boot_settings.port_range[0]}"
        ),
        bounds=vm_config.PlaceBounds(
            grace_s=boot_settings.bounds.grace_s,
            retry_ratio=boot_settings.bounds.retry_ratio,
            retry_slack=boot_settings.bounds.retry_slack,
            retry_window_s=boot_settings.bounds.retry_window_s,
            drain_s=boot_settings.bounds.drain_ms / _MS_PER_S,
        ),
    )


def _to_regions(zones: Any) -> dict[ids.FailureDomainName, ids.RegionName]:
    """Converts the regions; leaves out those that can't be read."""
    if not isinstance(zones, dict):
        return {}
    return {
        ids.FailureDomainName(domain): ids.RegionName(region)
        for domain, region in zones.items()
        if isinstance(region, str)
    }


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
