# ruff: noqa: ANN001, ANN003, ANN201, ANN202, ANN204
"""Stand-ins and helpers of the cases 6 to 10: standard library only.

The store, the servers and the clients run in the process of the case. The
gateways are started as the deploy file says.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
STAMP = "bronzeslip-response-stamp"
# Begins the ids of requests that record.txt does not name one by one.
CROWD = "crowd"
_BLOCK = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250 + 1}"
_hosts = itertools.count(1)
_serial = itertools.count(1)


def new_host():
    """Returns a loopback address of this case."""
    return f"{_BLOCK}.{next(_hosts)}"


def free_port(host):
    """Returns a free port below the ephemeral ones."""
    while True:
        port = random.randrange(11_000, 31_000)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((host, port))
            return port


class Record:
    """Lines of record.txt, each with the time since the start."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._lines = []
        self._start_s = time.monotonic()

    def now_s(self):
        """Returns the time since the start, in seconds."""
        return time.monotonic() - self._start_s

    def add(self, text):
        """Adds a line."""
        self._lines.append(f"{self.now_s():8.3f} {text}")

    def say(self, text):
        """Adds a line and prints it."""
        self.add(text)
        print(self._lines[-1], flush=True)

    def write(self):
        """Writes the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    @property
    def request_id(self):
        """Value of Bronzeslip-Attempt-Id."""
        return self.fields.get("bronzeslip-attempt-id", "")


async def read_head(reader):
    """Reads a head; returns its first line and its fields."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields, until_end=False):
    """Reads a body of any framing."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while await reader.readline() not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


async def read_request(reader):
    """Reads a request."""
    first, fields = await read_head(reader)
    method, target, _ = first.split(" ")
    return Request(method, target, fields, await read_body(reader, fields))


def render(status, body=b"", **fields):
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {v}" for name, v in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """A TCP server whose connections can be cut."""

    def __init__(self):
        self.host = new_host()
        self.port = free_port(self.host)
        self._server = None
        self._tasks = set()

    @property
    def address(self):
        """HOST:PORT."""
        return f"{self.host}:{self.port}"

    async def listen(self):
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._accept, self.host, self.port, limit=8 * 2**20, backlog=1024
        )

    async def close(self):
        """Stops to listen and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.CancelledError, ValueError):
            writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer):
        """Serves one connection."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes an object, as the operator or a server does."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return
        self._store(kind, name, spec, known)

    def remove(self, kind, name):
        """Removes an object if it exists."""
        known = self._objects.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            self._note(kind, known, True)

    def _store(self, kind, name, spec, known):
        self.revision += 1
        created = known["metadata"]["create_revision"] if known else None
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_revision": created or self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects.setdefault(kind, {})[name] = stored
        self._note(kind, stored, False)
        return stored

    def _note(self, kind, stored, removed):
        event = {"removed": removed, "object": stored}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        """Answers the calls of one connection."""
        while True:
            request = await read_request(reader)
            status, message = await self._answer(request)
            body = json.dumps(message).encode()
            writer.write(render(status, body, Content_Type="application/json"))
            await writer.drain()

    async def _answer(self, request):
        path, _, query = request.target.partition("?")
        options = dict(part.split("=") for part in query.split("&") if part)
        _, _, kind, *names = path.split("/")
        objects = self._objects.setdefault(kind, {})
        if not names and request.method == "GET":
            if "watch" in options:
                return await self._watch(kind, options)
            items = [objects[name] for name in sorted(objects)]
            return 200, {
                "items": items,
                "truncated": False,
                "as_of": self.revision,
            }
        if not names:
            message = json.loads(request.body)
            name = message["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self._store(kind, name, message.get("spec"), None)
        known = objects.get(names[0])
        if known is None:
            return 404, {}
        if request.method == "GET":
            return 200, known
        message = json.loads(request.body) if request.body else {}
        revision = message.get("metadata", {}).get(
            "revision", options.get("revision")
        )
        current = known["metadata"]["revision"]
        if revision is not None and int(revision) != current:
            return 409, known
        if request.method == "DELETE":
            self.remove(kind, names[0])
            return 200, known
        return 200, self._store(kind, names[0], message.get("spec"), known)

    async def _watch(self, kind, options):
        after = int(options["watch"])
        due_s = time.monotonic() + int(options.get("wait_ms", 0)) / 1000
        while True:
            events = [
                event
                for revision, of_kind, event in self._events
                if revision > after and of_kind == kind
            ]
            left_s = due_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Server(Listener):
    """A sound server: each request works for a while and gets its answer.

    Attributes:
        crowd_runs: Number of requests of crowds that it has run.
    """

    def __init__(self, store, service, record, slots=6, work_s=0.0225):
        super().__init__()
        self.service = service
        self.server_id = f"i-{next(_serial):03d}-{service}"
        self.crowd_runs = 0
        self._store = store
        self._record = record
        self._slots = slots
        self._work_s = work_s
        self._running = 0

    async def start(self, state="ready"):
        """Listens and registers."""
        await self.listen()
        self.register(state)

    def register(self, state="ready"):
        """Writes the entry."""
        self._store.put(
            "servers",
            self.server_id,
            {
                "service": self.service,
                "address": self.address,
                "zone": "brum-a",
                "version": "v1",
                "slots": self._slots,
                "state": state,
                "cold_left_ms": 0,
                "seq": 1,
                "born": 1_790_000_000_000,
            },
        )

    async def serve(self, reader, writer):
        """Answers the requests of one connection."""
        while True:
            request = await read_request(reader)
            await self._answer(request, reader, writer)
            await writer.drain()

    async def _answer(self, request, reader, writer):
        if request.target == "/health":
            writer.write(render(200, Bronzeslip_Instance_Id=self.server_id))
        elif request.target == "/report":
            writer.write(render(200, json.dumps(self._report()).encode()))
        elif request.target.startswith("/kv-"):
            writer.write(render(404))
        elif request.fields.get("bronzeslip-target-instance") not in (
            None,
            self.server_id,
        ):
            writer.write(render(421, Bronzeslip_Instance_Id=self.server_id))
        else:
            self.note_run(request)
            self._running += 1
            try:
                await self.run(request, reader, writer)
            finally:
                self._running -= 1

    def note_run(self, request):
        """Notes that a request runs; those of crowds are only counted."""
        if request.request_id.startswith(CROWD):
            self.crowd_runs += 1
            return
        self._record.add(
            f"{self.server_id} runs {request.request_id} "
            f"{request.method} {request.target}"
        )

    def _report(self):
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 1,
            "waiting": 0,
            "running": self._running,
            "kv_used": 1_000 * self._running,
            "kv_total": 34_392,
            "handles": 0,
            "state": "ready",
            "runs": [],
        }

    def own_fields(self, request):
        """Returns the fields that each answer has."""
        return {
            "Bronzeslip-Attempt-Id": request.request_id,
            "Bronzeslip-Response-Stamp": f"{self.server_id}.{time.time_ns()}",
            "Bronzeslip-Server-Load": f"{self._running},0,{self._slots}",
            "Keep-Alive": "timeout=10",
        }

    async def run(self, request, reader, writer):
        """Runs a request and answers it."""
        await asyncio.sleep(self._work_s)
        writer.write(render(200, b"x" * 800, **self.own_fields(request)))


class Engine(Server):
    """A sound model engine: each answer is a stream of events."""

    def __init__(self, store, service, record, events=60, pause_s=0.04):
        super().__init__(store, service, record, slots=24)
        self._events = events
        self._pause_s = pause_s

    async def run(self, request, reader, writer):
        """Answers with a stream."""
        await asyncio.sleep(0.2)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines.append("Transfer-Encoding: chunked")
        lines += [f"{n}: {v}" for n, v in self.own_fields(request).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        tokens = int(request.fields["bronzeslip-token-usage"].split(",")[1])
        events = min(self._events, max(tokens // 4, 1))
        for number in range(1, events + 1):
            last = " last" if number == events else ""
            event = f"id: {number}\ndata: {'t' * 250}{last}\n\n".encode()
            await self.write_event(writer, event)
            await asyncio.sleep(self._pause_s)
        writer.write(b"0\r\n\r\n")

    async def write_event(self, writer, event):
        """Writes an event as a chunk."""
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()


def route(name, kind, service, timeout_ms, goal_ms, attempts=1, **more):
    """Returns a route of the configuration; its path is its name."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "goal_ms": goal_ms,
        "priority": 0,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        **more,
    }


def configuration(version=7, more_routes=()):
    """Returns the configuration of the small deployment mtco-tinworks."""
    return {
        "version": version,
        "routes": [
            route("spec", "streaming", "pool", 39_000, 1_800, gap_aim_ms=180),
            route("piece", "streaming", "pool", 6_000, 1_500, gap_aim_ms=180),
            route("award", "non_idempotent", "desk", 800, 150),
            route("ledger", "idempotent", "desk", 800, 150, 2),
            *more_routes,
        ],
        "services": [
            {
                "name": "pool",
                "health_path": "/health",
                "max_conns": 282,
                "engine": {
                    "slots": 24,
                    "kv_capacity": 34_392,
                    "kv_token_bytes": 163_840,
                    "link_mbps": 24_000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 4,
                    "most": 12,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "handle_s": 5.0,
                    "models": [{"name": "m"}],
                },
            },
            {"name": "desk", "health_path": "/health", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


_SETTINGS = """
node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "brum-a"
region = "brum"
port_range = [{peer}, {peer_end}]
seeds = []
bootstrap = true
count_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",
 "stream","tenants","platform"]
[zones]
brum-a = "brum"
dudley-a = "black-country"
stoke-a = "potteries"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_ms = 2500
rollback_slack_ms = 250
outer_ms = 6000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
recover_s = 12
pass_ms = 250
again_s = 4.4
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Gateway:
    """A gateway as the platform starts it."""

    def __init__(self, store, folder, name, memory_mb=150):
        self.name = name
        self.host = new_host()
        self.front, self.ready, self.control = (
            free_port(self.host) for _ in range(3)
        )
        self._folder = pathlib.Path(folder)
        self._path = self._folder / f"{name}.toml"
        self._path.write_text(
            _SETTINGS.format(
                name=name,
                host=self.host,
                peer=7200,
                peer_end=7215,
                front=self.front,
                ready=self.ready,
                control=self.control,
                memory_mb=memory_mb,
                store=store.address,
            )
        )
        self.process = None

    def start(self):
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BRONZESLIP_BOOT"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Sends a signal."""
        self.process.send_signal(number)

    @property
    def exit_status(self):
        """Exit status, or None while it runs."""
        return self.process.poll()

    def stop(self):
        """Kills the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self, timeout_s=1.0):
        """Asks as the platform does."""
        try:
            answer = await call(
                self.host, self.ready, "GET", "/ready", {}, b"", timeout_s
            )
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return False
        return answer.status == 200

    async def wait_ready(self, timeout_s=40.0):
        """Waits until the gateway counts as ready."""
        due_s = time.monotonic() + timeout_s
        while time.monotonic() < due_s:
            if self.exit_status is not None:
                break
            if await self.is_ready():
                return
            await asyncio.sleep(0.2)
        raise CannotRunError(f"{self.name} does not become ready")

    def log_lines(self):
        """Returns what the gateway has written."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace").splitlines()


class CannotRunError(Exception):
    """The case can't be judged."""


class Answer:
    """What a client has received.

    Attributes:
        status: Status, or 0 if there is no answer in time.
        is_complete: Whether the body is complete.
        took_s: Time from the sending to the end, in seconds.
        head_s: Time from the sending to the head, in seconds, or None.
    """

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.is_complete = False
        self.took_s = 0.0
        self.head_s = None


def new_id(prefix):
    """Returns a new id of a client attempt."""
    return f"{prefix}-{next(_serial):05d}-{os.getpid()}"


def client_fields(request_id, deadline_ms, tokens=None):
    """Returns the fields of a request."""
    fields = {
        "Host": HOST_NAME,
        "Bronzeslip-Attempt-Id": request_id,
        "Bronzeslip-Deadline-Ms": str(deadline_ms),
        "Bronzeslip-Key": KEY,
    }
    if tokens is not None:
        prompt, output = tokens
        fields["Bronzeslip-Model"] = "m"
        fields["Bronzeslip-Token-Usage"] = f"{prompt},{output}"
        own = zlib.crc32(request_id.encode())
        prefix = f"5c1e07a2:47,{own:08x}:{prompt - 47}"
        fields["Bronzeslip-Prompt-Prefix"] = prefix
    return fields


def render_request(method, path, fields, body=b""):
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(host, port, method, path, fields, body, timeout_s):
    """Sends a request on a new connection and reads the answer."""
    answer = Answer()
    writer = None
    started_s = time.monotonic()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(render_request(method, path, fields, body))
            first, answer.fields = await read_head(reader)
            answer.head_s = time.monotonic() - started_s
            answer.status = int(first.split(" ")[1])
            answer.body = await read_body(reader, answer.fields, True)
            answer.is_complete = True
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        answer.took_s = time.monotonic() - started_s
        if writer is not None:
            writer.transport.abort()
    return answer


def is_trouble_on():
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, folder):
    """Runs a case and ends with its exit status.

    Args:
        play: Coroutine function with a record and a temporary folder; returns
            whether the rule held.
        folder: Folder of the case.
    """
    record = Record(folder)
    record.say(f"TROUBLE={int(is_trouble_on())}")
    status = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(play(record, temporary))
        status = 0 if held else 1
        record.say("the rule held" if held else "the rule was broken")
    except CannotRunError as error:
        record.say(f"could not run: {error}")
    except Exception as error:
        record.say(f"could not run: {error!r}")
        raise
    finally:
        record.write()
        sys.exit(status)


SIGTERM = signal.SIGTERM
