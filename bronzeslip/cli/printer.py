"""Output of bronzeslipctl."""

from typing import Any
from typing import TextIO

import msgspec

from bronzeslip.cli import render
from bronzeslip.cli import results
from bronzeslip.settings import operator


class Printer:
    """Writes results as text or as JSON.

    Results go to standard output; in JSON format, each result is one line and
    errors are results too. In text format, progress messages and errors go to
    standard error. JSON output has no progress messages.
    """

    def __init__(
        self,
        output_format: operator.OutputFormat,
        output: TextIO,
        errors: TextIO,
    ) -> None:
        self._output_format = output_format
        self._output = output
        self._errors = errors

    def show(self, result: Any) -> None:
        """Writes a result."""
        if self._output_format is operator.OutputFormat.JSON:
            line = msgspec.json.encode(result).decode()
        else:
            line = render.to_text(result)
        print(line, file=self._output, flush=True)

    def progress(self, message: str) -> None:
        """Writes a progress message in text format."""
        if self._output_format is operator.OutputFormat.TEXT:
            print(message, file=self._errors, flush=True)

    def show_error(self, code: str, message: str) -> None:
        """Writes the reason why a command failed."""
        if self._output_format is operator.OutputFormat.JSON:
            self.show(results.ErrorResult(code, message))
        else:
            print(f"bronzeslipctl: {message}", file=self._errors, flush=True)
