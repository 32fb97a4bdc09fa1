"""Processes, clients and the record of one case of the review."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
HOST = "review.example"
KEY = "key-of-w"
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
_TIME_LIMIT_S = 110.0
# Lines of stand-ins and gateways that go into the record.
_RECORDED = ('"what":', '"daemon.', '"stream.', '"attempt.')
_BOOT = """
node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "ub-a"
region = "ulaanbaatar"
port_range = [{peer},{peer}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
ub-a = "ulaanbaatar"
dk-a = "darkhan"
er-a = "erdenet"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 4000
ack_ms = 5000
drain_ms = {drain_ms}
grace_s = 8
loss_slack_ms = 200
config_ms = 2500
rollback_slack_ms = 250
outer_ms = 6000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
recover_s = 12
[platform]
address = "127.0.0.1:{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""  # noqa: E501


class CouldNotRunError(Exception):
    """The case could not be set up."""


@dataclasses.dataclass
class Answer:
    """What a client has seen of the answer to one request.

    Attributes:
        status: Status, 0 if there was none.
        headers: Headers, with names in lower case.
        body: Body as far as it arrived.
        is_complete: Whether the answer ended as HTTP says a whole one does.
        sent_s: When the request was sent, on the steady clock.
        ended_s: When the answer or the connection ended.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    sent_s: float = 0.0
    ended_s: float = 0.0

    @property
    def events(self) -> list[str]:
        """Texts of the complete events of a stream."""
        return [
            line.removeprefix("data: ")
            for line in self.body.decode().splitlines()
            if line.startswith("data: ")
        ]


class Process:
    """A process that the case started, and the lines that it printed."""

    def __init__(self, name: str, child: asyncio.subprocess.Process) -> None:
        self.name = name
        self.child = child
        self.lines: list[str] = []
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while line := await self.child.stdout.readline():
            self.lines.append(line.decode().rstrip())

    def told(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        """Returns the JSON lines of a stand-in about one kind of thing."""
        found = []
        for line in self.lines:
            if not line.startswith("{"):
                continue
            told = json.loads(line)
            if told.get("what") == what and all(
                told.get(name) == value for name, value in fields.items()
            ):
                found.append(told)
        return found

    def order(self, **order: Any) -> None:
        """Gives a stand-in an order."""
        self.child.stdin.write(json.dumps(order).encode() + b"\n")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.child.returncode is None:
            self.child.send_signal(number)

    async def end(self) -> None:
        """Kills the process if it still runs."""
        self.signal(signal.SIGKILL)
        await self.child.wait()
        await self._reading


class Gateway:
    """A gateway, started with the command of the deploy file."""

    def __init__(self, case: "Case", name: str, store_port: int) -> None:
        self._case = case
        self.name = name
        self.front_port = free_port()
        self.ready_port = free_port()
        self.peer_port = free_port()
        self._boot = case.folder / f"{name}.toml"
        self._boot.write_text(
            _BOOT.format(
                name=name,
                peer=self.peer_port,
                front=self.front_port,
                ready=self.ready_port,
                store=store_port,
                drain_ms=case.drain_ms,
            )
        )
        self.process: Process | None = None

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        metrics = deploy["roles"]["gateway"]["metrics"].partition("/")[0]
        command = [
            str(free_port()) if word == metrics else word for word in command
        ]
        self.process = await self._case.start(
            self.name, *command, BRONZESLIP_BOOT=str(self._boot)
        )
        await self._case.until(f"{self.name} is ready", self.is_ready)

    async def is_ready(self) -> bool:
        """Returns whether the gateway says that it is ready."""
        answer = await call(self.ready_port, "GET", "/ready", {})
        return answer.status == 200

    async def request(
        self,
        request_id: str,
        path: str,
        key: str = KEY,
        deadline_ms: int = 39000,
        tokens: str = "",
        method: str = "POST",
        body: bytes = b"x",
    ) -> Answer:
        """Sends a request of a client on a connection of its own."""
        headers = {
            "Host": HOST,
            "Bronzeslip-Attempt-Id": request_id,
            "Bronzeslip-Key": key,
            "Bronzeslip-Deadline-Ms": str(deadline_ms),
        }
        if tokens:
            prompt = tokens.partition(",")[0]
            headers["Bronzeslip-Model"] = "m"
            headers["Bronzeslip-Token-Usage"] = tokens
            headers["Bronzeslip-Prompt-Prefix"] = (
                f"{len(request_id):x}:{prompt}"
            )
        return await call(
            self.front_port, method, path, headers, body, deadline_ms / 1000
        )


class Case:
    """One case: starts processes and ends all of them."""

    def __init__(self, file: str, drain_ms: int = 2500) -> None:
        self.path = pathlib.Path(file).resolve().parent
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.drain_ms = drain_ms
        self._started_s = time.monotonic()
        self._record: list[str] = []
        self._processes: list[Process] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store_port = 0

    def run(self, play: Callable[["Case"], Awaitable[bool]]) -> None:
        """Plays the case and exits with 0, 1 (rule broken) or 2.

        Args:
            play: Plays the case; returns whether the rule held.
        """
        result = COULD_NOT_RUN
        try:
            result = asyncio.run(self._play(play))
        except Exception:
            # Python itself would exit with 1, which says "rule broken".
            traceback.print_exc()
        except asyncio.CancelledError:
            print("ended by a signal", flush=True)
        sys.exit(result)

    async def _play(self, play: Callable[["Case"], Awaitable[bool]]) -> int:
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        self.note(f"disruption: {'yes' if self.has_trouble else 'no'}")
        try:
            async with asyncio.timeout(_TIME_LIMIT_S):
                result = HELD if await play(self) else BROKEN
        except (CouldNotRunError, TimeoutError, OSError) as error:
            self.note(f"could not run: {type(error).__name__} {error}")
            result = COULD_NOT_RUN
        finally:
            for process in reversed(self._processes):
                await process.end()
            self._temporary.cleanup()
        meanings = {
            HELD: "0: the rule held",
            BROKEN: "1: the rule was broken",
            COULD_NOT_RUN: "2: the case could not run",
        }
        self.note(f"exit {meanings[result]}")
        for process in self._processes:
            for line in process.lines:
                if any(word in line for word in _RECORDED):
                    self._record.append(f"  {process.name}: {line}")
        (self.path / "record.txt").write_text("\n".join(self._record) + "\n")
        return result

    def note(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        elapsed_s = time.monotonic() - self._started_s
        self._record.append(f"{elapsed_s:7.3f} {text}")
        print(self._record[-1], flush=True)

    async def start(
        self, name: str, *command: str, **variables: str
    ) -> Process:
        """Starts a process at the root of the repository."""
        kept = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        child = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                **environment,
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONUNBUFFERED": "1",
                **variables,
            },
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 20,
        )
        process = Process(name, child)
        self._processes.append(process)
        return process

    async def start_store(self) -> None:
        """Starts the project's stand-in of the store."""
        self.store_port = free_port()
        await self.start(
            "store",
            "python3",
            "-m",
            "standins.object_store",
            "--port",
            str(self.store_port),
        )

        async def answers() -> bool:
            answer = await call(self.store_port, "GET", "/objects/config", {})
            return answer.status == 200

        await self.until("the store answers", answers)

    async def start_engine(
        self, number: int | str, service: str, zone: str, *flags: str
    ) -> "Engine":
        """Starts an engine and registers it."""
        engine = Engine(self, f"i-{service}-{number}", service, zone)
        engine.process = await self.start(
            f"engine {engine.id}",
            "python3",
            str(LIB / "engine.py"),
            f"--id={engine.id}",
            f"--service={service}",
            f"--port={engine.port}",
            *flags,
        )

        async def listens() -> bool:
            return bool(engine.process.told("listening"))

        await self.until(f"{engine.id} listens", listens)
        await engine.register("ready")
        return engine

    async def start_gateway(
        self, name: str = "front-1", store_port: int = 0
    ) -> Gateway:
        """Starts a gateway and waits until it is ready."""
        gateway = Gateway(self, name, store_port or self.store_port)
        await gateway.start()
        return gateway

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object as the operator or an engine does."""
        body = json.dumps({"metadata": {"name": name}, "spec": spec}).encode()
        path = f"/objects/{kind}"
        headers = {"Content-Type": "application/json"}
        answer = await call(
            self.store_port, "PUT", f"{path}/{name}", headers, body
        )
        if answer.status == 404:
            answer = await call(self.store_port, "POST", path, headers, body)
        if answer.status != 200:
            raise CouldNotRunError(f"store answered {answer.status}")

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object, as the platform does for an engine that left."""
        await call(self.store_port, "DELETE", f"/objects/{kind}/{name}", {})

    async def until(
        self, what: str, holds: Callable[[], Awaitable[bool]]
    ) -> None:
        """Waits until something holds, 30 s at most."""
        deadline_s = time.monotonic() + 30
        while not await holds():
            if time.monotonic() > deadline_s:
                raise CouldNotRunError(f"not so in time: {what}")
            await asyncio.sleep(0.05)


class Engine:
    """An engine of a case and its entry in the store."""

    def __init__(self, case: Case, name: str, service: str, zone: str) -> None:
        self._case = case
        self.id = name
        self.service = service
        self.zone = zone
        self.port = free_port()
        self.process: Process | None = None

    async def register(self, state: str) -> None:
        """Writes the entry of the engine."""
        await self._case.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 24,
                "state": state,
                "cold_left_ms": 0,
                "seq": 1,
                "born": self.process.told("listening")[0]["born"],
            },
        )


def route(
    name: str, kind: str, service: str, timeout_ms: int = 39000
) -> dict[str, Any]:
    """Returns a route whose path is /NAME/."""
    is_stream = kind == "streaming"
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "goal_ms": 1800,
        "priority": 0,
        "max_attempts": 1 if is_stream else 2,
        "sticky": is_stream,
        **({"gap_aim_ms": 180} if is_stream else {}),
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    moves: bool = False,
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Returns a configuration with a pool of engines and a plain service."""
    engine = {
        "slots": 24,
        "kv_capacity": 34000,
        "kv_token_bytes": 1000,
        "link_mbps": 1000,
        "moves": moves,
        "backups": False,
        "handle_s": 10,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "pool",
                "health_path": "/health",
                "max_conns": 242,
                "engine": engine,
            },
            {"name": "desk", "health_path": "/health", "max_conns": 110},
            {"name": "annex", "health_path": "/health", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants or [{"name": "w", "api_keys": [KEY]}],
    }


def free_port() -> int:
    """Returns a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def call(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Makes a call on a connection of its own and reads the answer."""
    answer = Answer(sent_s=time.monotonic())
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(_request(method, path, headers, body))
                await _read_answer(reader, answer)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    answer.ended_s = time.monotonic()
    return answer


def _request(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    fields = {"Host": HOST, **headers, "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    answer.headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
    answer.status = int(first.split(" ")[1])
    if "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(size)
    elif answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        answer.body = await reader.read()
    answer.is_complete = True
