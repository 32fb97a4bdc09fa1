"""Platform calls and time that claims cost, with the platform stand-in.

Prints, for one object per claim, the calls a claim takes over its life and
what that comes to at the size that the system is built towards.
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
_SHARES = (0.001, 0.01, 0.05)


def main() -> None:
    """Parses the flags and measures."""
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
    free = asyncio.Semaphore(flags.concurrency)

    async def live(index: int) -> None:
        async with free:
            await _live(claim_store, index)

    start_s = time.perf_counter()
    await asyncio.gather(*(live(index) for index in range(flags.claims)))
    spent_s = time.perf_counter() - start_s
    writes = standin.calls["put"] + standin.calls["delete"]
    _report(flags.claims, spent_s, writes, standin.calls["get"])
    await platform.close()
    await http.stop()


async def _live(claim_store: store.ClaimStore, index: int) -> None:
    key = claims.key_of(
        ids.WorkspaceId("clerks"), ids.ServiceName("awards"), str(index)
    )
    wanted = claims.Claim(
        ids.CallId(ids.random_id()),
        claims.request_digest("POST", "/awards", str(index).encode()),
        "127.0.0.1:1",
        frames.DispatchTicket(ids.IncarnationId(ids.random_id()), 1.0),
        int(time.time()),
    )
    held = await claim_store.create(key, wanted)
    result = kept_result.KeptResult(200, (), b"x" * 200)
    await claim_store.release(await claim_store.record_result(held, result))


def _report(count: int, spent_s: float, writes: int, reads: int) -> None:
    per_claim = writes / count
    print(f"claims {count}, {count / spent_s:.0f} lives a second here")
    print(f"writes per claim {per_claim:.2f}, reads {reads / count:.2f}")
    for share in _SHARES:
        rate = _REQUESTS_PER_S * share
        print(
            f"{share:.1%} of {_REQUESTS_PER_S}/s not idempotent: "
            f"{rate:.0f} claims/s, {rate * per_claim:.0f} writes/s"
        )


if __name__ == "__main__":
    main()
