"""A program started on this machine for a trial or a test."""

from collections.abc import Callable
from collections.abc import Mapping
import os
import re
import signal
import subprocess
import sys
import threading
import time

_URL = re.compile(r"listening http://127\.0\.0\.1:(\d+)")
_PORT = re.compile(r'"(http_port|peer_port)":(\d+)')
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0


class LocalProcess:
    """One started program and what it has printed."""

    def __init__(
        self,
        module: str,
        *arguments: str,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Starts a module of this environment's Python.

        Args:
            module: Module to run.
            *arguments: Its flags.
            environment: Variables beside those of this process.
        """
        self.module = module
        self._arguments = arguments
        self._environment = environment or {}
        self.lines: list[str] = []
        self._stop_requested = False
        self._changed = threading.Condition()
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={
                **os.environ,
                "PYTHONUNBUFFERED": "1",
                **self._environment,
            },
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def restarted(self, *arguments: str) -> "LocalProcess":
        """Starts the same program again.

        Args:
            *arguments: More flags, which go before the earlier ones.
        """
        return LocalProcess(
            self.module,
            *self._arguments,
            *arguments,
            environment=self._environment,
        )

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status, or None while it runs."""
        return self._process.poll()

    def http_port(self) -> int:
        """Waits for the HTTP port that the program prints."""
        return int(self._wait_for_port("http_port"))

    def peer_port(self) -> int:
        """Waits for the peer port that the program prints."""
        return int(self._wait_for_port("peer_port"))

    def http_url(self) -> str:
        """Waits for the HTTP port and returns the base URL."""
        return f"http://127.0.0.1:{self.http_port()}"

    def wait_for_line(self, text: str) -> str:
        """Waits until a printed line contains a text."""
        return self._wait(lambda line: text in line)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.exit_status is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGKILL)
        self._process.wait()

    def wait(self) -> int:
        """Waits for the process to end by itself."""
        return self._process.wait(_STOP_TIMEOUT_S)

    def request_stop(self) -> None:
        """Asks the process to end, once."""
        if not self._stop_requested:
            self._stop_requested = True
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)

    def stop(self) -> None:
        """Asks the process to end and kills it if it does not."""
        self.request_stop()
        try:
            self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        self._reader.join(_STOP_TIMEOUT_S)
        self._process.stdout.close()

    def _read(self) -> None:
        for line in self._process.stdout:
            with self._changed:
                self.lines.append(line.rstrip("\n"))
                self._changed.notify_all()
        with self._changed:
            self._changed.notify_all()

    def _wait_for_port(self, name: str) -> str:
        def matches(line: str) -> bool:
            return f'"{name}":' in line or bool(_URL.search(line))

        line = self._wait(matches)
        printed = _URL.search(line)
        if printed:
            return printed.group(1)
        return dict(_PORT.findall(line))[name]

    def _wait(self, matches: Callable[[str], bool]) -> str:
        end_s = time.monotonic() + _START_TIMEOUT_S
        seen = 0
        with self._changed:
            while True:
                for line in self.lines[seen:]:
                    if matches(line):
                        return line
                seen = len(self.lines)
                left_s = end_s - time.monotonic()
                if left_s <= 0 or self.exit_status is not None:
                    printed = "\n".join(self.lines[-20:])
                    raise RuntimeError(f"{self.module} failed:\n{printed}")
                self._changed.wait(min(left_s, 0.2))
