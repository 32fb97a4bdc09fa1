"""Command that serves the engine stand-in."""

import argparse
import asyncio

from standins import serve
from standins.engine import app
from standins.engine import model
from standins.engine import orders


def main() -> None:
    """Parses the command line and serves the engine stand-in."""
    parser = argparse.ArgumentParser(prog="standin-engine")
    serve.add_port_flag(parser)
    parser.add_argument("--model", default="tin-drafter")
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--blocks", type=int, default=2048)
    parser.add_argument("--max-batch", type=int, default=64)
    parser.add_argument("--step-base-s", type=float, default=0.01)
    parser.add_argument("--step-per-sequence-s", type=float, default=0.0002)
    parser.add_argument("--load-lag-s", type=float, default=0.5)
    parser.add_argument("--cache-event-gap-every", type=int, default=0)
    asyncio.run(_run(parser.parse_args()))


async def _run(flags: argparse.Namespace) -> None:
    parameters = model.EngineParameters(
        blocks_total=flags.blocks,
        max_batch=flags.max_batch,
        step_base_s=flags.step_base_s,
        step_per_sequence_s=flags.step_per_sequence_s,
    )
    standin = app.EngineStandin(
        parameters,
        orders.OrderProcessor(flags.model, flags.checks_fencing),
        flags.load_lag_s,
        flags.cache_event_gap_every,
    )
    await serve.serve(standin.app(), flags.port)


if __name__ == "__main__":
    main()
