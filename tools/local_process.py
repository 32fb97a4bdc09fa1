"""A local process started for a trial or a test."""

from collections.abc import Callable
from collections.abc import Mapping
import os
import re
import signal
import subprocess
import sys
import threading
import time

_LISTENING_URL = re.compile(r"listening http://127\.0\.0\.1:(\d+)")
_PORT_FIELD = re.compile(r'"(http_port|peer_port)":(\d+)')
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0


class LocalProcess:
    """A Python module run as a process, and the lines it has printed."""

    def __init__(
        self,
        module: str,
        *arguments: str,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Starts a module with the Python interpreter of this environment.

        Args:
            module: Module to run.
            *arguments: Flags of the module.
            environment: Variables in addition to those of this process.
        """
        self.module = module
        self._arguments = arguments
        self._environment = environment or {}
        self.lines: list[str] = []
        self._stop_requested = False
        self._was_ended = False
        self._lines_changed = threading.Condition()
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
        self._reader = threading.Thread(target=self._read_lines, daemon=True)
        self._reader.start()

    def start_again(self, *arguments: str) -> "LocalProcess":
        """Starts the same module again in a new process.

        Args:
            *arguments: Additional flags, which override the original ones.
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
        """Exit status, or None while the process runs."""
        return self._process.poll()

    @property
    def has_ended_by_itself(self) -> bool:
        """Whether the process has ended without being stopped or killed."""
        return self.exit_status is not None and not self._was_ended

    def http_port(self) -> int:
        """Waits until the process prints its HTTP port and returns it."""
        return int(self._wait_for_port("http_port"))

    def peer_port(self) -> int:
        """Waits until the process prints its peer port and returns it."""
        return int(self._wait_for_port("peer_port"))

    def http_url(self) -> str:
        """Waits for the HTTP port and returns the base URL."""
        return f"http://127.0.0.1:{self.http_port()}"

    def wait_for_line(self, text: str) -> str:
        """Waits for a printed line that contains a text and returns it."""
        return self._wait(lambda line: text in line)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.exit_status is None:
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self._note_end()
        self.send_signal(signal.SIGKILL)
        self._process.wait()

    def wait(self) -> int:
        """Waits until the process exits and returns its exit status."""
        return self._process.wait(_STOP_TIMEOUT_S)

    def request_stop(self) -> None:
        """Asks the process to exit; repeated calls have no effect."""
        if not self._stop_requested:
            self._stop_requested = True
            self._note_end()
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)

    def stop(self) -> None:
        """Asks the process to exit and kills it after a timeout."""
        self.request_stop()
        try:
            self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        self._reader.join(_STOP_TIMEOUT_S)
        self._process.stdout.close()

    def _note_end(self) -> None:
        if self.exit_status is None:
            self._was_ended = True

    def _read_lines(self) -> None:
        for line in self._process.stdout:
            with self._lines_changed:
                self.lines.append(line.rstrip("\n"))
                self._lines_changed.notify_all()
        with self._lines_changed:
            self._lines_changed.notify_all()

    def _wait_for_port(self, name: str) -> str:
        def matches(line: str) -> bool:
            return f'"{name}":' in line or bool(_LISTENING_URL.search(line))

        line = self._wait(matches)
        url_match = _LISTENING_URL.search(line)
        if url_match:
            return url_match.group(1)
        return dict(_PORT_FIELD.findall(line))[name]

    def _wait(self, matches: Callable[[str], bool]) -> str:
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        checked_count = 0
        with self._lines_changed:
            while True:
                for line in self.lines[checked_count:]:
                    if matches(line):
                        return line
                checked_count = len(self.lines)
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or self.exit_status is not None:
                    output = "\n".join(self.lines[-20:])
                    raise RuntimeError(
                        f"{self.module} exited or did not print the expected "
                        f"line in time:\n{output}"
                    )
                self._lines_changed.wait(min(remaining_s, 0.2))
