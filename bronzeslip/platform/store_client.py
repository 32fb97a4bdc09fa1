"""Client of the platform's object store."""

import asyncio
from collections.abc import Callable
from typing import Any

import httpx
import msgspec

from bronzeslip import ids
from bronzeslip.entry import vm_config
from bronzeslip.http import bounded_exchange
from bronzeslip.http import bounded_transport
from bronzeslip.http import silence_detection
from bronzeslip.platform import discovery
from bronzeslip.platform import headers
from bronzeslip.platform import store_era
from bronzeslip.platform import store_listings
from bronzeslip.platform import store_messages
from bronzeslip.settings import entry
from bronzeslip.store import errors
from bronzeslip.store import objects

_MS_PER_S = 1000
_MAX_CONNECTIONS = 20
# A listing comes in parts of about a megabyte. The limits on a single call,
# times these factors, bound it as a whole.
_LISTING_TIMEOUT_FACTOR = 10
_LISTING_SIZE_FACTOR = 4


class StoreClient:
    """Calls the store; every method may raise errors.PlatformError.

    The part of a key before the first slash is the kind of the object, the
    rest is its name.

    Attributes:
        era: Era of the store, to which all versions refer.
    """

    def __init__(
        self,
        address: vm_config.SocketAddress,
        settings: entry.EntrySettings,
        on_call: Callable[[str, str], None],
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Creates a client.

        Args:
            address: Address of the store.
            settings: Settings with the timeout of calls.
            on_call: Called after each call with the HTTP method and the
                status code or the name of the exception.
            transport: Transport to use instead of TCP, for tests.
        """
        self.era = store_era.StoreEra()
        self._on_call = on_call
        self._timeout_s = settings.store_timeout_s
        self._max_body_bytes = settings.store_response_max_bytes
        # Anyone may register endpoints.
        self._max_value_bytes = {
            _kind_of(discovery.PREFIX): settings.store_entry_max_bytes
        }
        self._http = httpx.AsyncClient(
            base_url=f"http://{address.host}:{address.port}",
            timeout=None,
            headers={"Accept-Encoding": "identity"},
            transport=transport
            or bounded_transport.BoundedTransport(
                settings.response_head_max_bytes,
                _MAX_CONNECTIONS,
                silence_detection.socket_options(settings.store_silence_s),
            ),
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes the connections to the store."""
        await self._http.aclose()

    async def get(self, key: ids.ObjectKey) -> objects.PlatformObject | None:
        """Reads an object; returns None if it does not exist."""
        answer = await self._call("GET", f"/objects/{key}")
        if answer.status == httpx.codes.NOT_FOUND:
            return None
        return store_messages.to_object(
            _kind_of(key), store_listings.decode_object(answer), answer.era
        )

    async def list_objects(
        self, prefix: str, may_be_stale: bool = False
    ) -> objects.ObjectList:
        """Reads all objects of a kind.

        Args:
            prefix: The kind, followed by a slash.
            may_be_stale: Whether the result may be some seconds old, which is
                cheaper for the store.
        """
        try:
            async with asyncio.timeout(
                self._timeout_s * _LISTING_TIMEOUT_FACTOR
            ):
                return await self._list_parts(_kind_of(prefix), may_be_stale)
        except TimeoutError as error:
            raise errors.PlatformUnavailableError(
                f"listing of {prefix} not complete in time"
            ) from error

    async def _list_parts(
        self, kind: str, may_be_stale: bool
    ) -> objects.ObjectList:
        stored: list[objects.PlatformObject] = []
        size_bytes = 0
        after: str | None = None
        version = None
        while True:
            params = {"stale_ok": "1"} if may_be_stale else {}
            if after is not None:
                params["after"] = after
            answer = await self._call("GET", f"/objects/{kind}", params=params)
            size_bytes += len(answer.body)
            self._check_listing_size(size_bytes)
            page = store_listings.decode_page(answer)
            # The version of the first page: changes made while later pages
            # are read are then repeated by the watch.
            if version is None:
                version = store_era.version_of(answer.era, page.as_of)
            self.era.check_watch(version, answer.era)
            stored += [
                store_messages.to_object(
                    kind, item, answer.era, self._max_value_bytes.get(kind)
                )
                for item in page.items
            ]
            if not page.truncated:
                break
            after = _continuation(page, after)
        return objects.ObjectList(version, tuple(stored))

    def _check_listing_size(self, size_bytes: int) -> None:
        max_bytes = self._max_body_bytes * _LISTING_SIZE_FACTOR
        if size_bytes > max_bytes:
            raise errors.PlatformUnavailableError(
                f"listing of more than {max_bytes} bytes"
            )

    async def watch(
        self, prefix: str, after: ids.ObjectVersion, wait_s: float
    ) -> objects.WatchBatch:
        """Waits for changes to objects of a kind.

        Raises:
            errors.WatchExpiredError: If the store no longer has the changes
                since that version; the caller must list the objects again.
        """
        self.era.check_watch(after, self.era.current)
        kind = _kind_of(prefix)
        answer = await self._call(
            "GET",
            f"/objects/{kind}",
            wait_s,
            params={
                "watch": store_era.revision_of(after),
                "wait_ms": round(wait_s * _MS_PER_S),
            },
        )
        self.era.check_watch(after, answer.era)
        batch = store_listings.decode_events(answer)
        return objects.WatchBatch(
            store_era.version_of(answer.era, batch.as_of),
            tuple(
                store_messages.to_event(
                    kind, event, answer.era, self._max_value_bytes.get(kind)
                )
                for event in batch.events
            ),
        )

    async def create(
        self, key: ids.ObjectKey, value: Any
    ) -> objects.PlatformObject:
        """Creates an object that must not exist yet."""
        kind = _kind_of(key)
        body = {"metadata": {"name": _name_of(key)}, "spec": value}
        answer = await self._write("POST", f"/objects/{kind}", body)
        return store_messages.to_object(
            kind,
            store_messages.decode(answer, store_messages.StoredObject),
            answer.era,
        )

    async def update(
        self, key: ids.ObjectKey, value: Any, version: ids.ObjectVersion
    ) -> objects.PlatformObject:
        """Replaces an object if it is at the given version."""
        self.era.check_write(version)
        metadata = {
            "name": _name_of(key),
            "revision": store_era.revision_of(version),
        }
        answer = await self._write(
            "PUT", f"/objects/{key}", {"metadata": metadata, "spec": value}
        )
        self.era.check_written(version, answer.era)
        return store_messages.to_object(
            _kind_of(key),
            store_messages.decode(answer, store_messages.StoredObject),
            answer.era,
        )

    async def delete(
        self, key: ids.ObjectKey, version: ids.ObjectVersion
    ) -> None:
        """Deletes an object if it is at the given version."""
        self.era.check_write(version)
        answer = await self._call(
            "DELETE",
            f"/objects/{key}",
            params={"revision": store_era.revision_of(version)},
        )
        self.era.check_written(version, answer.era)

    async def _write(
        self, method: str, path: str, body: Any
    ) -> store_messages.Answer:
        return await self._call(
            method,
            path,
            content=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
        )

    async def _call(
        self, method: str, path: str, wait_s: float = 0.0, **options: Any
    ) -> store_messages.Answer:
        """Makes a call, bounded in time and in bytes as a whole.

        Args:
            method: HTTP method.
            path: Path of the call.
            wait_s: Time for which the store may hold the call, in seconds.
            **options: Options of the HTTP request.
        """
        try:
            async with (
                asyncio.timeout(self._timeout_s + wait_s),
                self._http.stream(method, path, **options) as response,
            ):
                body = await bounded_exchange.read_body(
                    response, self._max_body_bytes
                )
        except (httpx.HTTPError, httpx.InvalidURL, TimeoutError) as error:
            self._on_call(method, type(error).__name__)
            raise errors.PlatformUnavailableError(
                f"{method} {path}: {type(error).__name__}"
            ) from error
        self._on_call(method, str(response.status_code))
        era = self.era.observe(response.headers.get(headers.STORE_ERA.decode()))
        store_messages.raise_for_status(method, path, response.status_code)
        return store_messages.Answer(response.status_code, body, era)


def _continuation(page: store_messages.Page, after: str | None) -> str:
    """Returns the name after which a listing continues."""
    name = page.last_name
    if name is None or name == after:
        raise errors.PlatformError("the next part of the listing is unknown")
    return name


def _kind_of(key: str) -> str:
    return key.partition("/")[0]


def _name_of(key: str) -> str:
    return key.partition("/")[2]
