"""Runs seeded soak trials."""

import argparse
import pathlib
import sys

from tools.soak import settings
from tools.soak import trial

_DEFAULTS = settings.SoakSettings()


def main() -> None:
    """Runs one trial per seed; exits with 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--length-s", type=float, default=_DEFAULTS.length_s)
    parser.add_argument("--gateways", type=int, default=_DEFAULTS.gateways)
    parser.add_argument("--endpoints", type=int, default=_DEFAULTS.endpoints)
    parser.add_argument("--callers", type=int, default=_DEFAULTS.callers)
    parser.add_argument("--series", type=int, default=_DEFAULTS.series)
    parser.add_argument(
        "--logs",
        type=pathlib.Path,
        help="folder for the logs of the processes of failed seeds",
    )
    flags = parser.parse_args()
    trial_settings = settings.SoakSettings(
        flags.length_s,
        flags.gateways,
        flags.endpoints,
        flags.callers,
        flags.series,
    )
    end_seed = flags.first_seed + flags.count
    failed_count = sum(
        _run_seed(trial_settings, seed, flags.logs)
        for seed in range(flags.first_seed, end_seed)
    )
    print(
        f"{flags.count - failed_count} seeds without a violation, "
        f"{failed_count} with violations"
    )
    sys.exit(1 if failed_count else 0)


def _run_seed(
    trial_settings: settings.SoakSettings,
    seed: int,
    logs_folder: pathlib.Path | None,
) -> bool:
    """Runs the trial of one seed and returns whether it found violations."""
    soak_trial = trial.Trial(trial_settings, seed, logs_folder)
    violations = soak_trial.run()
    print(
        f"seed {seed}: {len(soak_trial.stuttering_seeds)} stuttering "
        f"endpoints, {len(soak_trial.faults)} faults, "
        f"{soak_trial.request_count} requests, {soak_trial.run_count} runs, "
        f"{len(violations)} violations",
        flush=True,
    )
    for violation in violations:
        print(
            f"  {violation.invariant.value}: {violation.request_id} "
            f"{violation.detail}"
        )
    print("  faults:", ", ".join(fault.value for fault in soak_trial.faults))
    return bool(violations)


if __name__ == "__main__":
    main()
