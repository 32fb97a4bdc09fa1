"""Ordinary callers, by PROTOCOL.md, for the review's scripts."""

import asyncio
import dataclasses
import itertools

from review.lib3 import wire

HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
_CONNECT_S = 1.0
_numbers = itertools.count(1)


@dataclasses.dataclass
class Attempt:
    """One client attempt and how it ended."""

    attempt_id: str
    kind: str
    sent_s: float
    is_kept: bool
    outcome: str = "open"
    is_signed: bool = False
    took_s: float = 0.0


class Caller:
    """Sends calls on a kept connection, one after the other."""

    def __init__(self, address: tuple[str, int], record: list[Attempt]) -> None:
        self._address = address
        self._record = record
        self._streams = None

    async def call(self, kind: str, path: str, deadline_s: float) -> Attempt:
        """Sends one call and waits for its answer until its deadline."""
        loop = asyncio.get_running_loop()
        attempt = Attempt(
            f"{next(_numbers):016x}",
            kind,
            loop.time(),
            self._streams is not None,
        )
        self._record.append(attempt)
        try:
            async with asyncio.timeout(deadline_s):
                attempt.outcome = await self._exchange(
                    attempt, path, deadline_s
                )
        except TimeoutError:
            attempt.outcome = "no answer"
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            attempt.outcome = "closed"
            self.close()
        attempt.took_s = loop.time() - attempt.sent_s
        return attempt

    async def _exchange(
        self, attempt: Attempt, path: str, deadline_s: float
    ) -> str:
        if self._streams is None:
            self._streams = await asyncio.wait_for(
                asyncio.open_connection(*self._address), _CONNECT_S
            )
        reader, writer = self._streams
        method = "GET" if attempt.kind == "idempotent" else "POST"
        body = b"" if method == "GET" else b"x" * 600
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        writer.write(
            (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Bronzeslip-Attempt-Id: {attempt.attempt_id}\r\n"
                f"Bronzeslip-Deadline-Ms: {round(deadline_s * 1000)}\r\n"
                f"Bronzeslip-Key: {KEY}\r\n{length}\r\n"
            ).encode()
            + body
        )
        message = await wire.read_message(reader)
        if message is None:
            raise ConnectionResetError
        if "close" in message.fields.get("connection", ""):
            self.close()
        attempt.is_signed = "bronzeslip-response-stamp" in message.fields
        return str(message.status)

    def close(self) -> None:
        """Closes the connection; the next call opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def configuration(version: int, timeout_ms: int = 2500) -> dict:
    """Returns a configuration with plain services."""
    route = {
        "host": HOST,
        "timeout_ms": timeout_ms,
        "goal_ms": 175,
        "priority": 2,
        "service": "desk",
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return {
        "version": version,
        "routes": [
            {
                **route,
                "name": "calls",
                "path_prefix": "/calls/",
                "kind": "non_idempotent",
                "max_attempts": 1,
            },
            {
                **route,
                "name": "reads",
                "path_prefix": "/reads/",
                "kind": "idempotent",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": "desk",
                "health_path": "/health",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1}],
    }


def configuration_of_engines(version: int) -> dict:
    """Returns a configuration with a pool of model engines."""
    return {
        **configuration(version),
        "routes": [
            {
                "name": "drafts",
                "host": HOST,
                "path_prefix": "/drafts/",
                "kind": "streaming",
                "timeout_ms": 39000,
                "goal_ms": 1800,
                "priority": 0,
                "service": "pool",
                "max_attempts": 1,
                "public": False,
                "sticky": True,
                "resumable": False,
                "gap_aim_ms": 180,
            }
        ],
        "services": [
            {
                "name": "pool",
                "health_path": "/health",
                "max_conns": 282,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 24,
                    "kv_capacity": 34392,
                    "kv_token_bytes": 163840,
                    "link_mbps": 24000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 4,
                    "most": 12,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "handle_s": 5.0,
                    "models": [{"name": "m"}],
                },
            }
        ],
    }
