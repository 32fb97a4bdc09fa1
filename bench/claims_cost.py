"""Measures the platform calls and the time that claims cost.

Runs claims, each stored as one object, against the platform stand-in. Prints
the number of calls per claim, and the resulting rates at the target size of
20,000 requests/s for several ratios of non-idempotent requests.
"""

import argparse
import asyncio
import time

from bronzeslip import ids
from bronzeslip.claims import claim as claims
from bronzeslip.claims import kept_result
from bronzeslip.claims import store
from bronzeslip.http import server
from bronzeslip.store import client
from bronzeslip.transport.frames import call as frames
from standins.platform import app

_TIMEOUT_S = 10.0
_REQUESTS_PER_S = 20_000
_NON_IDEMPOTENT_RATIOS = (0.001, 0.01, 0.05)


def main() -> None:
    """Parses the command line and runs the measurement."""
    parser = argparse.ArgumentParser(prog="claims-cost")
    parser.add_argument("--claims", type=int, default=2000)
    parser.add_argument("--concurrency", type=int, default=16)
    asyncio.run(_measure(parser.parse_args()))


async def _measure(flags: argparse.Namespace) -> None:
    standin = app.PlatformStandin()
    http = server.HttpServer(standin.app(), "127.0.0.1", 0)
    http.start()
    platform = client.PlatformClient(
        f"http://127.0.0.1:{http.port}", _TIMEOUT_S
    )
    claim_store = store.ClaimStore(platform)
    slots = asyncio.Semaphore(flags.concurrency)

    async def run_claim(index: int) -> None:
        async with slots:
            await _run_claim(claim_store, index)

    start_s = time.perf_counter()
    await asyncio.gather(*(run_claim(index) for index in range(flags.claims)))
    elapsed_s = time.perf_counter() - start_s
    writes = standin.calls["put"] + standin.calls["delete"]
    _report(flags.claims, elapsed_s, writes, standin.calls["get"])
    await platform.close()
    await http.stop()


async def _run_claim(claim_store: store.ClaimStore, index: int) -> None:
    key = claims.key_of(
        ids.WorkspaceId("clerks"), ids.ServiceName("awards"), str(index)
    )
    claim = claims.Claim(
        ids.CallId(ids.random_id()),
        claims.request_digest("POST", "/awards", str(index).encode()),
        "127.0.0.1:1",
        frames.DispatchTicket(ids.IncarnationId(ids.random_id()), 1.0),
        int(time.time()),
    )
    created_claim = await claim_store.create(key, claim)
    result = kept_result.KeptResult(200, (), b"x" * 200)
    await claim_store.release(
        await claim_store.record_result(created_claim, result)
    )


def _report(count: int, elapsed_s: float, writes: int, reads: int) -> None:
    per_claim = writes / count
    print(f"claims {count}, {count / elapsed_s:.0f} claims/s on this machine")
    print(f"writes per claim {per_claim:.2f}, reads {reads / count:.2f}")
    for ratio in _NON_IDEMPOTENT_RATIOS:
        claim_rate = _REQUESTS_PER_S * ratio
        print(
            f"{ratio:.1%} of {_REQUESTS_PER_S}/s not idempotent: "
            f"{claim_rate:.0f} claims/s, {claim_rate * per_claim:.0f} writes/s"
        )


if __name__ == "__main__":
    main()
