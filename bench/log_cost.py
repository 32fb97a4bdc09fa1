"""Measures the cost of a request's log lines, with and without a reader."""

import argparse
from collections.abc import Iterator
import contextlib
import os
import sys
import threading
import time

import msgspec

from bronzeslip import log_queue
from bronzeslip import logs

logger = logs.get_logger(__name__)

_US_PER_S = 1_000_000
# A gateway on a machine of the users' specification serves 40 requests/s.
_REQUEST_INTERVAL_S = 1 / 40
_REQUEST_COUNT = 400


class Cost(msgspec.Struct, frozen=True):
    """Cost of the log lines of one request.

    Attributes:
        cpu_us: CPU time per request, in microseconds.
        longest_us: Longest time that the log calls of a request took, in
            microseconds.
    """

    cpu_us: float
    longest_us: float


def measure(level: logs.LogLevel, has_reader: bool) -> Cost:
    """Writes the log lines of requests at the request rate of a gateway.

    Args:
        level: Lowest log level that is written.
        has_reader: Whether standard output is read while lines are written.

    Returns:
        The mean CPU time and the longest delay of a request.
    """
    logs.configure(logs.LogFormat.JSON, level)
    with _redirect_stdout(has_reader), log_queue.background_writer():
        start_cpu_s = time.process_time()
        longest_s = 0.0
        for number in range(_REQUEST_COUNT):
            start_s = time.perf_counter()
            _write_lines(f"request-{number}")
            longest_s = max(longest_s, time.perf_counter() - start_s)
            time.sleep(_REQUEST_INTERVAL_S)
        cpu_s = time.process_time() - start_cpu_s
    return Cost(cpu_s / _REQUEST_COUNT * _US_PER_S, longest_s * _US_PER_S)


@contextlib.contextmanager
def _redirect_stdout(has_reader: bool) -> Iterator[None]:
    """Replaces standard output by a pipe within the context."""
    read_end, write_end = os.pipe()
    reader = threading.Thread(target=_drain, args=(read_end,), daemon=True)
    original = sys.stdout
    sys.stdout = os.fdopen(write_end, "w", buffering=1)
    if not has_reader:
        # Fill the pipe so that every later write blocks.
        os.set_blocking(write_end, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(write_end, b"x" * 4096)
        os.set_blocking(write_end, True)
    else:
        reader.start()
    try:
        yield
    finally:
        sys.stdout, pipe_writer = original, sys.stdout
        if not has_reader:
            reader.start()
        pipe_writer.close()
        reader.join()


def _drain(read_end: int) -> None:
    with os.fdopen(read_end, "rb") as pipe_reader:
        while pipe_reader.read(65536):
            pass


def _write_lines(request_id: str) -> None:
    """Writes the log lines of a request that an endpoint answers."""
    logger.info(
        "request.accepted",
        request=request_id,
        route="orders",
        service="desk",
        workspace="smiths",
        configuration=7,
        left_s=1.5,
    )
    logger.info(
        "request.chosen",
        request=request_id,
        endpoint="desk-1",
        options=3,
        cost_s=0.012,
        least_cost_s=0.012,
        crowding=0.3,
        memory=0.0,
        prefill_s=0.0,
        report_age_s=None,
    )
    logger.info(
        "request.settled",
        request=request_id,
        outcome="completed",
        elapsed_s=0.03,
    )


def main() -> None:
    """Prints the cost without lines, with a reader and without a reader."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    rows = (
        ("no lines", logs.LogLevel.ERROR, True),
        ("lines with a reader", logs.LogLevel.INFO, True),
        ("lines without a reader", logs.LogLevel.INFO, False),
    )
    for name, level, has_reader in rows:
        cost = measure(level, has_reader)
        print(
            f"{name}: {cost.cpu_us:.0f} us per request, "
            f"longest delay {cost.longest_us:.0f} us"
        )


if __name__ == "__main__":
    main()
