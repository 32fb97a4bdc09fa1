"""Client of the platform's object API, VM list and weight store."""

from collections.abc import Callable
from typing import Any
from typing import TypeVar

import httpx
import msgspec

from bronzeslip import ids
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.http import bounded_exchange
from bronzeslip.http import url_transport
from bronzeslip.store import errors
from bronzeslip.store import objects

_WATCH_TIMEOUT_MARGIN_S = 2.0
_MAX_CONNECTIONS = 100
_MAX_IDLE_CONNECTIONS = 20
# A listing holds all objects under its prefix.
_MAX_BODY_BYTES = 64 * 1024 * 1024
_PRECONDITION_FAILED_STATUS = 412
_TOO_LARGE_STATUS = 413
_GONE_STATUS = 410
_NOT_FOUND_STATUS = 404

ResponseT = TypeVar("ResponseT")


class PlatformClient:
    """Calls the platform; every method may raise errors.PlatformError."""

    def __init__(
        self,
        base_url: str,
        timeout_s: float,
        transport: httpx.AsyncBaseTransport | None = None,
        on_call: Callable[[str, str], None] | None = None,
    ) -> None:
        """Creates a client.

        Args:
            base_url: Base URL of the platform.
            timeout_s: Timeout of one call, in seconds.
            transport: Transport to use instead of TCP, for tests.
            on_call: Called after each call with the HTTP method and the first
                part of the path, and with the status code or the name of the
                exception.
        """
        self._on_call = on_call or _ignore_call
        self._timeout_s = timeout_s
        self._http = httpx.AsyncClient(
            base_url=base_url,
            timeout=None,
            headers={"Accept-Encoding": "identity"},
            transport=transport
            or url_transport.create(_MAX_CONNECTIONS, _MAX_IDLE_CONNECTIONS),
        )

    async def close(self) -> None:
        """Closes the connections to the platform."""
        await self._http.aclose()

    async def get(self, key: str) -> objects.PlatformObject | None:
        """Reads an object; returns None if it does not exist.

        Raises:
            errors.PlatformUnavailableError: If no response was received.
        """
        response = await self._call("GET", f"/objects/{key}")
        if response.status_code == _NOT_FOUND_STATUS:
            return None
        return _decode(response, objects.PlatformObject)

    async def list_objects(self, prefix: str) -> objects.ObjectList:
        """Reads all objects whose keys start with a prefix."""
        response = await self._call(
            "GET", "/objects", params={"prefix": prefix}
        )
        return _decode(response, objects.ObjectList)

    async def create(self, key: str, value: Any) -> objects.PlatformObject:
        """Creates an object that must not exist yet.

        Raises:
            errors.VersionConflictError: If the object exists.
            errors.PlatformUnavailableError: If no response was received; the
                write may have taken effect.
        """
        return await self._put(key, value, {"If-None-Match": "*"})

    async def update(
        self, key: str, value: Any, version: ids.ObjectVersion
    ) -> objects.PlatformObject:
        """Replaces an object if it is at the given version.

        Raises:
            errors.VersionConflictError: If the object is at another version.
            errors.PlatformUnavailableError: If no response was received; the
                write may have taken effect.
        """
        return await self._put(key, value, {"If-Match": str(version)})

    async def delete(self, key: str, version: ids.ObjectVersion) -> None:
        """Deletes an object if it is at the given version."""
        await self._call(
            "DELETE", f"/objects/{key}", headers={"If-Match": str(version)}
        )

    async def watch(
        self, prefix: str, after: ids.ObjectVersion, wait_s: float
    ) -> objects.WatchBatch:
        """Waits for changes to objects under a prefix.

        Args:
            prefix: Prefix of the keys to watch.
            after: Version of the store up to which the caller has all changes.
            wait_s: Maximum wait, in seconds.

        Returns:
            The changes; empty if there were none before the wait ended.

        Raises:
            errors.WatchExpiredError: If the platform no longer has the events
                since that version; the caller must list the objects again.
        """
        response = await self._call(
            "GET",
            "/watch",
            params={"prefix": prefix, "after": after, "wait_s": wait_s},
            timeout_s=wait_s + _WATCH_TIMEOUT_MARGIN_S,
        )
        return _decode(response, objects.WatchBatch)

    async def vms(self) -> tuple[objects.VmEntry, ...]:
        """Reads the platform's list of VMs, which may be outdated."""
        response = await self._call("GET", "/vms")
        return _decode(response, tuple[objects.VmEntry, ...])

    async def acquire_weights(self, size_bytes: int) -> objects.WeightGrant:
        """Requests permission to download from the weight store."""
        response = await self._call(
            "POST", "/weights/acquire", params={"size_bytes": size_bytes}
        )
        return _decode(response, objects.WeightGrant)

    async def _put(
        self, key: str, value: Any, condition: dict[str, str]
    ) -> objects.PlatformObject:
        response = await self._call(
            "PUT",
            f"/objects/{key}",
            content=msgspec.json.encode(value),
            headers={"Content-Type": "application/json", **condition},
        )
        return _decode(response, objects.PlatformObject)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float | None = None,
        **options: Any,
    ) -> httpx.Response:
        operation = f"{method} /{path.split('/')[1]}"
        try:
            response = await bounded_exchange.request(
                self._http,
                method,
                path,
                self._timeout_s if timeout_s is None else timeout_s,
                _MAX_BODY_BYTES,
                **options,
            )
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            self._on_call(operation, type(error).__name__)
            raise errors.PlatformUnavailableError(
                f"{method} {path}: {type(error).__name__}"
            ) from error
        self._on_call(operation, str(response.status_code))
        _raise_for_status(method, path, response)
        return response


def _ignore_call(_: str, __: str) -> None:
    pass


def _raise_for_status(method: str, path: str, response: httpx.Response) -> None:
    status = response.status_code
    if status < httpx.codes.BAD_REQUEST or status == _NOT_FOUND_STATUS:
        return
    text = f"{method} {path}: status {status}"
    if status == _PRECONDITION_FAILED_STATUS:
        raise errors.VersionConflictError(text)
    if status == _TOO_LARGE_STATUS:
        raise errors.ValueTooLargeError(text)
    if status == _GONE_STATUS:
        raise errors.WatchExpiredError(text)
    if status >= httpx.codes.INTERNAL_SERVER_ERROR:
        raise errors.PlatformUnavailableError(text)
    raise errors.PlatformError(text)


def _decode(
    response: httpx.Response, response_type: type[ResponseT]
) -> ResponseT:
    try:
        return untrusted.from_json(response.content, response_type)
    except decoding_errors.UndecodableError as error:
        raise errors.PlatformError(
            f"invalid response from the platform: {error.message}"
        ) from error
