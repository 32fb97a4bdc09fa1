"""Object store of the platform, by PROTOCOL.md, for the review's scripts.

It holds the configuration and the entries of servers, answers listings,
watches, reads and conditional writes, and is always sound.
"""

import asyncio
import json
from urllib import parse

from review.lib3 import wire


class Store:
    """Objects by kind and name, with one revision counter."""

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, dict]] = {}
        self._revision = 1
        self._events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Listens on a free port; returns the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Creates or replaces an object."""
        self._revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "create_revision": self._revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects.setdefault(kind, {})[name] = stored
        self._note(kind, stored, False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._note(kind, stored, True)

    def _note(self, kind: str, stored: dict, is_removed: bool) -> None:
        self._events.append((self._revision, kind, stored, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await wire.read_message(reader)) is not None:
                status, body = await self._answer(message)
                wire.write_answer(writer, status, json.dumps(body).encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has closed the connection, or the script ends.
            pass
        finally:
            writer.close()

    async def _answer(self, message: wire.Message) -> tuple[int, object]:
        method, target, _ = message.first_line.split(" ")
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix("/objects/").partition("/")
        name = name.removesuffix("/status")
        objects = self._objects.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            items = [objects[key] for key in sorted(objects)]
            return 200, {
                "items": items,
                "truncated": False,
                "as_of": self._revision,
            }
        return self._write(method, kind, name, query, message.body)

    async def _watch(self, kind: str, query: dict) -> tuple[int, object]:
        since = int(query["watch"])
        wait_s = int(query.get("wait_ms", 0)) / 1000
        due_s = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                {"removed": is_removed, "object": stored}
                for revision, event_kind, stored, is_removed in self._events
                if revision > since and event_kind == kind
            ]
            left_s = due_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _write(
        self, method: str, kind: str, name: str, query: dict, body: bytes
    ) -> tuple[int, object]:
        objects = self._objects[kind]
        message = json.loads(body) if body else {}
        name = name or message.get("metadata", {}).get("name", "")
        known = objects.get(name)
        if method == "POST":
            if known is not None:
                return 409, known
            return 200, self.put(kind, name, message.get("spec"))
        if known is None:
            return 404, {}
        expected = message.get("metadata", {}).get("revision")
        expected = expected or int(query.get("revision", 0))
        if expected and expected != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.put(kind, name, message.get("spec"))
