"""Parses the tokens of the engine stand-in."""

import re

from tools.faults import history

_TOKEN = re.compile(r"([0-9a-f]+)\.([0-9a-f]+)-(\d+)")


def parse(text: str) -> tuple[history.ReceivedToken, ...]:
    """Returns the tokens that a text consists of."""
    return tuple(
        history.ReceivedToken(prompt, run, int(index))
        for prompt, run, index in _TOKEN.findall(text)
    )
