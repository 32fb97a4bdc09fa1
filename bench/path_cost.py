"""Measures the cost of the path from engine to caller.

The path leads through a sidecar and a gateway.
"""

import argparse
import dataclasses
import os
import pathlib
import subprocess
import sys
import time

import msgspec
import numpy

from bench import stream_client
from tools import declarations
from tools import local_deployment
from tools import local_process
from tools import shapes

_CLIENT_COUNT = 4
_ENGINE_COUNT = 6
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_SHAPE = dataclasses.replace(
    shapes.MIDLANDS,
    regions=("brum",),
    engine_count=_ENGINE_COUNT,
    plain_count=0,
)
_SIDECAR_FLAGS = ("--max-running-requests=2000",)


class PacedDeployment(local_deployment.LocalDeployment):
    """Deployment of one gateway and paced engines."""

    def __init__(self, step_s: float) -> None:
        super().__init__(_SHAPE, gateway_count=1, sidecar_flags=_SIDECAR_FLAGS)
        self._step_s = step_s

    def start_engine(self) -> local_process.LocalProcess:
        """Starts a paced engine."""
        return local_process.LocalProcess(
            "bench.paced_engine", f"--step-s={self._step_s}"
        )


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests that the callers send.

    Attributes:
        name: Name of the row in the table.
        streams: Number of concurrent callers.
        tokens: Length of each answer.
        seconds: Period in which callers send further requests, in seconds.
    """

    name: str
    streams: int
    tokens: int
    seconds: float


def main() -> None:
    """Runs every load and prints a table."""
    parser = argparse.ArgumentParser(prog="path-cost")
    parser.add_argument("--step-s", type=float, default=0.027)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--streams", type=int, nargs="*", default=[1, 50, 300])
    flags = parser.parse_args()
    deployment = PacedDeployment(flags.step_s)
    try:
        deployment.start()
        print(_HEADER, flush=True)
        for load in _loads(flags):
            print(_row(deployment, load), flush=True)
    finally:
        deployment.stop()


_HEADER = """\
| load | tokens/s | requests/s | gateway cores | gateway us/token \
| gateway us/request | sidecar us/token | first token p50/p95 ms \
| delay p50/p95 ms | between tokens p95 ms | gateway MB | unfinished |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"""


def _loads(flags: argparse.Namespace) -> list[Load]:
    seconds = flags.seconds
    length = int(seconds / flags.step_s)
    return [
        Load("one-token answers", 8, 1, seconds),
        *(
            Load(f"{streams} streams", streams, length, 0.0)
            for streams in flags.streams
        ),
        Load("335 callers of 234 tokens", 335, 234, seconds),
    ]


def _row(deployment: PacedDeployment, load: Load) -> str:
    gateway_pids = [deployment.gateways[0].pid]
    sidecar_pids = [sidecar.pid for sidecar in deployment.sidecars]
    gateway_cpu_s, sidecar_cpu_s = _cpu_s(gateway_pids), _cpu_s(sidecar_pids)
    start_s = time.monotonic()
    samples = _run_clients(deployment, load)
    wall_s = time.monotonic() - start_s
    gateway_cpu_s = _cpu_s(gateway_pids) - gateway_cpu_s
    sidecar_cpu_s = _cpu_s(sidecar_pids) - sidecar_cpu_s
    tokens = max(samples.tokens, 1)
    return " | ".join(
        (
            f"| {load.name}",
            f"{samples.tokens / wall_s:.0f}",
            f"{samples.requests / wall_s:.1f}",
            f"{gateway_cpu_s / wall_s:.2f}",
            f"{gateway_cpu_s / tokens * _US_PER_S:.1f}",
            f"{gateway_cpu_s / max(samples.requests, 1) * _US_PER_S:.0f}",
            f"{sidecar_cpu_s / tokens * _US_PER_S:.1f}",
            _percentiles(samples.first_us, 50, 95),
            _percentiles(samples.delay_us, 50, 95),
            _percentiles(samples.gap_us, 95),
            f"{_resident_mb(gateway_pids[0]):.0f}",
            f"{samples.unfinished} |",
        )
    )


def _run_clients(
    deployment: PacedDeployment, load: Load
) -> stream_client.Samples:
    clients = [
        _start_client(deployment, load, count)
        for count in _streams_per_client(load.streams)
    ]
    total = stream_client.Samples()
    for client in clients:
        output, _ = client.communicate()
        part = msgspec.json.decode(output, type=stream_client.Samples)
        total.requests += part.requests
        total.tokens += part.tokens
        total.unfinished += part.unfinished
        total.first_us += part.first_us
        total.delay_us += part.delay_us
        total.gap_us += part.gap_us
    return total


def _streams_per_client(streams: int) -> list[int]:
    stream_counts = [
        streams // _CLIENT_COUNT + (index < streams % _CLIENT_COUNT)
        for index in range(_CLIENT_COUNT)
    ]
    return [stream_count for stream_count in stream_counts if stream_count]


def _start_client(
    deployment: PacedDeployment, load: Load, streams: int
) -> subprocess.Popen:
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "bench.stream_client",
            f"--port={deployment.gateways[0].http_port()}",
            f"--credential={declarations.credential_of(_SHAPE.workspaces[0])}",
            f"--model={_SHAPE.model}",
            f"--streams={streams}",
            f"--tokens={load.tokens}",
            f"--seconds={load.seconds}",
        ],
        stdout=subprocess.PIPE,
    )


def _cpu_s(pids: list[int]) -> float:
    ticks = 0
    for pid in pids:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000


def _percentiles(samples_us: list[int], *ranks: int) -> str:
    if not samples_us:
        return "-"
    values = numpy.percentile(samples_us, ranks) / _US_PER_MS
    return "/".join(f"{value:.2f}" for value in values)


if __name__ == "__main__":
    main()
