"""Load generator that records when the tokens of streams arrive."""

import argparse
import asyncio
import re
import time

import msgspec

_STAMP = re.compile(rb"(?:(\d+):)?@(\d+) ")
_DONE = b"[DONE]"
_US_PER_S = 1_000_000


class Samples(msgspec.Struct):
    """Measurements of the callers of one process.

    Attributes:
        requests: Number of finished requests.
        tokens: Number of tokens received.
        first_us: Latency that the path adds to each first token, in
            microseconds.
        delay_us: Latency of each later token from engine to caller, in
            microseconds.
        gap_us: Change in latency from one token to the next, in
            microseconds.
        unfinished: Number of callers that did not finish in time.
    """

    requests: int = 0
    tokens: int = 0
    first_us: list[int] = []
    delay_us: list[int] = []
    gap_us: list[int] = []
    unfinished: int = 0


class Caller(asyncio.Protocol):
    """Connection that sends one request after another."""

    def __init__(
        self, samples: Samples, request: bytes, send_until_s: float
    ) -> None:
        self.closed = asyncio.get_running_loop().create_future()
        self._samples = samples
        self._request = request
        self._send_until_s = send_until_s
        self._transport: asyncio.Transport | None = None
        self._sent_us = 0
        self._last_delay_us: int | None = None
        self._unparsed = b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the first request."""
        self._transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        """Records tokens and sends the next request after the last token."""
        now_us = int(time.monotonic() * _US_PER_S)
        data = self._unparsed + data
        end = 0
        for stamp in _STAMP.finditer(data):
            end = stamp.end()
            self._record_token(stamp, now_us)
        self._unparsed = data[end:][-64:]
        if _DONE in data:
            self._unparsed = b""
            self._samples.requests += 1
            if time.monotonic() < self._send_until_s:
                self._send()
            else:
                self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Marks the connection as closed."""
        if not self.closed.done():
            self.closed.set_result(None)

    def _send(self) -> None:
        self._sent_us = int(time.monotonic() * _US_PER_S)
        self._last_delay_us = None
        self._transport.write(self._request)

    def _record_token(self, stamp: re.Match[bytes], now_us: int) -> None:
        samples = self._samples
        samples.tokens += 1
        delay_us = now_us - int(stamp.group(2))
        if stamp.group(1):
            request_delay_us = int(stamp.group(1)) - self._sent_us
            samples.first_us.append(request_delay_us + delay_us)
        else:
            samples.delay_us.append(delay_us)
            if self._last_delay_us is not None:
                samples.gap_us.append(delay_us - self._last_delay_us)
        self._last_delay_us = delay_us


async def _run(flags: argparse.Namespace) -> Samples:
    samples = Samples()
    body = msgspec.json.encode(
        {
            "model": flags.model,
            "prompt": "p" * flags.prompt_bytes,
            "stream": True,
            "max_tokens": flags.tokens,
        }
    )
    request = (
        f"POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {flags.credential}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
    send_until_s = time.monotonic() + flags.seconds
    loop = asyncio.get_running_loop()
    pending_callers = []
    for index in range(flags.streams):
        await asyncio.sleep(flags.ramp_s / flags.streams if index else 0)
        _, caller = await loop.create_connection(
            lambda: Caller(samples, request, send_until_s),
            "127.0.0.1",
            flags.port,
        )
        pending_callers.append(caller.closed)
    timeout_s = flags.seconds + flags.drain_s
    _, unfinished = await asyncio.wait(pending_callers, timeout=timeout_s)
    samples.unfinished = len(unfinished)
    return samples


def main() -> None:
    """Runs the callers and prints their measurements as JSON."""
    parser = argparse.ArgumentParser(prog="stream-client")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--credential", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--streams", type=int, required=True)
    parser.add_argument("--tokens", type=int, required=True)
    parser.add_argument("--prompt-bytes", type=int, default=2000)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--ramp-s", type=float, default=1.0)
    parser.add_argument("--drain-s", type=float, default=30.0)
    samples = asyncio.run(_run(parser.parse_args()))
    print(msgspec.json.encode(samples).decode(), flush=True)


if __name__ == "__main__":
    main()
