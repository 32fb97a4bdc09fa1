# ruff: noqa: ANN001, ANN201, ANN202
"""The platform's watch over the memory of the processes that it has started."""

import asyncio
import pathlib
import time

import kit

MEMORY_MB = 150
# The rule: three ends on each of two machines.
MAX_ENDS = 3
_MB = 1_000_000
_SAMPLE_S = 0.05
_RESTART_S = 0.5
_LEAD_S = 12.0
_CALM_S = 3.0
_CALLS_PER_S = 4.0


class Machine:
    """A gateway that the platform watches, and the clients that trouble it.

    Only the resident memory of a process counts here, in MB of 10**6 bytes as
    in the gateway's own settings, without the bytes that it has received and
    not read yet.

    Attributes:
        ends: How often the process has ended.
    """

    def __init__(self, record, gateway) -> None:
        self.gateway = gateway
        self.ends = 0
        self._record = record
        self._peak_mb = 0.0
        self._peaks_mb = []
        self._start_crowd = None
        self._crowd = None

    def trouble(self, start_crowd):
        """Lets a crowd come, and come again after each restart.

        Args:
            start_crowd: Starts the process of the crowd at a gateway.
        """
        self._start_crowd = start_crowd
        self._crowd = start_crowd(self.gateway)

    def stop(self):
        """Ends the processes."""
        self._stop_crowd()
        self.gateway.stop()

    def describe(self):
        """Returns the ends and the peaks of the memory."""
        return (
            f"{self.gateway.name}: {self.ends} ends, peaks in MB "
            f"{self._peaks_mb}, then {self._peak_mb:.0f}"
        )

    async def watch(self):
        """Kills the process when it has too much memory, and restarts it."""
        while True:
            await asyncio.sleep(_SAMPLE_S)
            used_mb = self._used_mb()
            self._peak_mb = max(self._peak_mb, used_mb)
            if used_mb <= MEMORY_MB and self.gateway.exit_status is None:
                continue
            self.ends += 1
            self._record.say(
                f"{self.gateway.name} uses {used_mb:.0f} MB of {MEMORY_MB}, "
                f"exit status {self.gateway.exit_status}: end {self.ends}"
            )
            self._peaks_mb.append(round(self._peak_mb))
            self._peak_mb = 0.0
            self.gateway.stop()
            self._stop_crowd()
            await asyncio.sleep(_RESTART_S)
            self.gateway.start()
            await self.gateway.wait_ready()
            if self._start_crowd is not None:
                self._crowd = self._start_crowd(self.gateway)

    def _stop_crowd(self):
        if self._crowd is not None:
            self._crowd.kill()
            self._crowd.wait()
            self._crowd = None

    def _used_mb(self):
        path = pathlib.Path(f"/proc/{self.gateway.process.pid}/status")
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return 0.0
        fields = dict(line.split(":", 1) for line in lines)
        if "VmRSS" not in fields:
            return 0.0
        return int(fields["VmRSS"].split()[0]) * 1024 / _MB


async def play(record, folder, start_crowd, trouble_s):
    """Plays two gateways with a crowd at each of them.

    Args:
        record: Record of the case.
        folder: Temporary folder.
        start_crowd: Starts the process of the crowd at a gateway.
        trouble_s: Longest time for which the crowds come.

    Returns:
        Whether the rule held.
    """
    store = kit.Store()
    await store.listen()
    store.put("config", "main", kit.configuration())
    servers = [kit.Server(store, "desk", record) for _ in range(3)]
    servers += [kit.Engine(store, "pool", record) for _ in range(5)]
    for server in servers:
        await server.start()
    machines = [
        Machine(record, kit.Gateway(store, folder, name, MEMORY_MB))
        for name in ("front-brum-a-1", "front-brum-a-2")
    ]
    try:
        for machine in machines:
            machine.gateway.start()
        for machine in machines:
            await machine.gateway.wait_ready()
        await asyncio.sleep(_LEAD_S)
        held = await _run(record, machines, start_crowd, trouble_s)
        runs = sum(server.crowd_runs for server in servers)
        record.say(f"servers ran {runs} requests of the crowds")
        return held
    finally:
        for machine in machines:
            machine.stop()


async def _run(record, machines, start_crowd, trouble_s):
    end_s = time.monotonic() + _CALM_S + trouble_s
    tasks = [asyncio.create_task(machine.watch()) for machine in machines]
    tasks += [
        asyncio.create_task(_send(record, machine.gateway, end_s))
        for machine in machines
    ]
    await asyncio.sleep(_CALM_S)
    if start_crowd is not None:
        for machine in machines:
            machine.trouble(start_crowd)
        record.say("the crowds are there")
    while time.monotonic() < end_s:
        await asyncio.sleep(0.2)
        if all(machine.ends >= MAX_ENDS for machine in machines):
            break
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    for machine in machines:
        record.say(machine.describe())
    return not all(machine.ends >= MAX_ENDS for machine in machines)


async def _send(record, gateway, end_s):
    """Sends ordinary calls."""
    calls = set()
    while time.monotonic() < end_s:
        task = asyncio.create_task(_call(record, gateway))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(1 / _CALLS_PER_S)


async def _call(record, gateway):
    request_id = kit.new_id("call")
    record.add(f"client sends {request_id} POST /award/2f to {gateway.name}")
    answer = await kit.call(
        gateway.host,
        gateway.front,
        "POST",
        "/award/2f",
        kit.client_fields(request_id, 1_500),
        b"x" * 600,
        3.0,
    )
    record.add(
        f"client has {request_id}: status {answer.status}, "
        f"complete {answer.is_complete}, after {answer.took_s:.3f} s"
    )
