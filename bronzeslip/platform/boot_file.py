"""Reads the settings file that the platform provides for each process."""

import os
import pathlib
import tomllib
from typing import Annotated
from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import addresses
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.entry import vm_config
from bronzeslip.platform import contracts
from bronzeslip.platform import errors
from bronzeslip.platform import place_bounds
from bronzeslip.platform import process_limits

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "BRONZESLIP_BOOT"

# Far more than the platform writes.
_MAX_FILE_BYTES = 1_048_576
_MAX_QUOTED_CHARS = 64

_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Platform(msgspec.Struct):
    address: str


class _BootFile(msgspec.Struct):
    node_name: _Text
    ip: _Text
    # First and last port for communication between nodes.
    port_range: tuple[_Port, _Port]
    zone: _Text
    listen: _Listen
    platform: _Platform
    bounds: Any = None
    limits: Any = None
    # Region of each failure domain. A gateway serves without it.
    zones: Any = None
    contracts: Any = None


def read(
    path: pathlib.Path,
    known_bounds: vm_config.PlaceBounds = place_bounds.CAUTIOUS_BOUNDS,
) -> vm_config.VmConfig:
    """Reads a settings file.

    Args:
        path: Path of the file.
        known_bounds: Bounds to keep in place of those that can't be used.

    Raises:
        errors.BootFileError: If the file can't be read, is not valid TOML, or
            has a missing, mistyped or unusable field.
    """
    try:
        return _to_vm_config(_decode(_read_text(path)), known_bounds)
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
    with open(path, "rb", opener=_open_without_waiting) as file:
        # None from a pipe that is empty but has a writer.
        content = file.read(_MAX_FILE_BYTES + 1) or b""
    if len(content) > _MAX_FILE_BYTES:
        raise errors.BootFileError(
            f"{path}: larger than {_MAX_FILE_BYTES} bytes"
        )
    return content.decode()


def _open_without_waiting(path: str, flags: int) -> int:
    """Opens a file without waiting for a writer if it is a pipe."""
    return os.open(path, flags | os.O_NONBLOCK)


def _decode(text: str) -> _BootFile:
    document: dict[str, Any] = tomllib.loads(text)
    return msgspec.convert(document, _BootFile)


def _to_vm_config(
    boot_settings: _BootFile, known_bounds: vm_config.PlaceBounds
) -> vm_config.VmConfig:
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
        bounds=place_bounds.decode(boot_settings.bounds, known_bounds),
        process_limits=process_limits.decode(boot_settings.limits),
        contracts=contracts.decode(boot_settings.contracts),
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
        errors.AddressError: If the text is not of that form, the host is not
            an IPv4 address or the port is out of range.
    """
    try:
        return vm_config.SocketAddress(*addresses.parse(text))
    except decoding_errors.UndecodableError as error:
        raise errors.AddressError(
            f"address {text[:_MAX_QUOTED_CHARS]!r}: {error.message}"
        ) from error
