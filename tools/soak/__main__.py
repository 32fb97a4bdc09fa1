"""Command that plays seeded trials."""

import argparse
import sys

from tools.soak import settings
from tools.soak import trial

_DEFAULTS = settings.SoakSettings()


def main() -> None:
    """Plays the trials of some seeds; exit status 1 if a promise broke."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--length-s", type=float, default=_DEFAULTS.length_s)
    parser.add_argument("--gateways", type=int, default=_DEFAULTS.gateways)
    parser.add_argument("--endpoints", type=int, default=_DEFAULTS.endpoints)
    parser.add_argument("--callers", type=int, default=_DEFAULTS.callers)
    parser.add_argument("--series", type=int, default=_DEFAULTS.series)
    flags = parser.parse_args()
    wanted = settings.SoakSettings(
        flags.length_s,
        flags.gateways,
        flags.endpoints,
        flags.callers,
        flags.series,
    )
    last = flags.first_seed + flags.count
    broken = sum(_play(wanted, seed) for seed in range(flags.first_seed, last))
    print(f"{flags.count - broken} seeds kept every promise, {broken} did not")
    sys.exit(1 if broken else 0)


def _play(wanted: settings.SoakSettings, seed: int) -> bool:
    """Plays one seed and tells whether it broke a promise."""
    played = trial.Trial(wanted, seed)
    found = played.run()
    print(
        f"seed {seed}: {len(played.faults)} faults, {played.answer_count} "
        f"requests, {played.run_count} runs, {len(found)} broken",
        flush=True,
    )
    for broken in found:
        print(f"  {broken.promise.value}: {broken.request_id} {broken.detail}")
    if found:
        print("  faults:", ", ".join(fault.value for fault in played.faults))
    return bool(found)


if __name__ == "__main__":
    main()
