"""Measures the cost of idle processes and of retained generations."""

import argparse
import os
import pathlib
import statistics
import time
import tracemalloc

from bronzeslip.generation import run
from tests.support import generation_frames
from tools import local_deployment
from tools import local_process
from tools import shapes

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_BYTES_PER_MB = 1_000_000
_RETAINED_GENERATION_COUNT = 200
_TOKENS_PER_GENERATION = 1_000


def main() -> None:
    """Runs the measurements and prints their results."""
    parser = argparse.ArgumentParser(prog="idle_cost")
    parser.add_argument("--seconds", type=float, default=20.0)
    flags = parser.parse_args()
    deployment = local_deployment.LocalDeployment(shapes.MIDLANDS)
    try:
        deployment.start()
        groups = {
            "gateway": deployment.gateways,
            "sidecar": deployment.sidecars,
        }
        before = {name: _cpu_s(group) for name, group in groups.items()}
        time.sleep(flags.seconds)
        for name, group in groups.items():
            cpu_ratios = [
                (after_s - before_s) / flags.seconds
                for after_s, before_s in zip(
                    _cpu_s(group), before[name], strict=True
                )
            ]
            print(
                f"{name}: {statistics.mean(cpu_ratios):.2%} of a core, "
                f"{statistics.mean(_resident_mb(group)):.0f} MB"
            )
    finally:
        deployment.stop()
    print(
        "retained generation: "
        f"{_retained_bytes_per_token():.0f} bytes per token"
    )


def _cpu_s(group: list[local_process.LocalProcess]) -> list[float]:
    return [_cpu_of(process.pid) for process in group]


def _cpu_of(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident_mb(group: list[local_process.LocalProcess]) -> list[float]:
    return [
        int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1])
        * _PAGE_BYTES
        / _BYTES_PER_MB
        for process in group
    ]


def _retained_bytes_per_token() -> float:
    tracemalloc.start()
    retained = []
    for number in range(_RETAINED_GENERATION_COUNT):
        generation = run.GenerationRun(generation_frames.create_start_frame())
        generation.append(
            0, [f"{number}-{i} " for i in range(_TOKENS_PER_GENERATION)]
        )
        retained.append(generation)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / (_RETAINED_GENERATION_COUNT * _TOKENS_PER_GENERATION)


if __name__ == "__main__":
    main()
