"""The settings file that the platform lays for each process."""

import pathlib
import tomllib
from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.entry import place
from bronzeslip.platform import errors

PATH_VARIABLE = "BRONZESLIP_BOOT"


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct):
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float


class _Store(msgspec.Struct):
    address: str


class _BootFile(msgspec.Struct):
    node_name: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    bounds: _Bounds
    platform: _Store


def read(path: pathlib.Path) -> place.VmPlace:
    """Reads a settings file.

    Args:
        path: Where the file is.

    Raises:
        errors.BootFileError: If it can't be read or lacks a field.
    """
    try:
        with path.open("rb") as file:
            fields: dict[str, Any] = tomllib.load(file)
        boot = msgspec.convert(fields, _BootFile)
    except (OSError, tomllib.TOMLDecodeError, msgspec.MsgspecError) as error:
        raise errors.BootFileError(f"{path}: {error}") from error
    return _place(boot)


def _place(boot: _BootFile) -> place.VmPlace:
    return place.VmPlace(
        vm_id=ids.VmId(boot.node_name),
        failure_domain=ids.FailureDomainName(boot.zone),
        regions={
            ids.FailureDomainName(domain): ids.RegionName(region)
            for domain, region in boot.zones.items()
        },
        callers=parse_address(boot.listen.front),
        readiness=parse_address(boot.listen.ready),
        store=parse_address(boot.platform.address),
        bounds=place.PlaceBounds(
            grace_s=boot.bounds.grace_s,
            retry_ratio=boot.bounds.retry_ratio,
            retry_slack=boot.bounds.retry_slack,
            retry_window_s=boot.bounds.retry_window_s,
        ),
    )


def parse_address(text: str) -> place.SocketAddress:
    """Reads HOST:PORT.

    Raises:
        errors.AddressError: If the text is no address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise errors.AddressError(f"{text!r} is no address")
    return place.SocketAddress(host, int(port))
