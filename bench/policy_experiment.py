"""Compares policies on the same seeded workloads.

Run as: python -m bench.policy_experiment --seeds 5 --table
"""

import argparse
import concurrent.futures
import itertools
import json
import statistics

import msgspec

from bench import incidents
from bench import policy_variant
from bench import summary
from bench import trial
from bench import virtual_loop
from bench import workload
from tools import shapes

_SHAPES = {shape.name: shape for shape in (shapes.MIDLANDS, shapes.MONGOLIA)}
_WORKLOADS = {
    "rush": workload.WorkloadSettings(),
    "idle": workload.IDLE_WORKLOAD,
    "overload": workload.OVERLOAD_WORKLOAD,
}


class TrialRecord(msgspec.Struct, frozen=True):
    """Parameters and figures of one trial, as written to the JSON file."""

    shape: str
    workload: str = msgspec.field(name="morning")
    incident: str
    policy_variant: str = msgspec.field(name="contender")
    seed: int
    figures: summary.Summary


def main() -> None:
    """Runs the trials and prints JSON or a table."""
    flags = _parse_flags()
    cells = list(
        itertools.product(
            flags.shapes,
            flags.mornings,
            flags.incidents,
            flags.contenders,
            range(flags.seeds),
        )
    )
    with concurrent.futures.ProcessPoolExecutor(flags.jobs) as pool:
        records = list(pool.map(_run_trial, cells))
    if flags.json:
        with open(flags.json, "w", encoding="utf-8") as target:
            json.dump(msgspec.to_builtins(records), target, indent=1)
    for key, group in itertools.groupby(
        records, lambda record: (record.shape, record.workload, record.incident)
    ):
        title = ", ".join((*key, f"{flags.seeds} seeds"))
        print(f"\n### {title}\n\n{_table(list(group))}")


def _parse_flags() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="policy-experiment")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument(
        "--json", help="write the figures of each trial to this file"
    )
    parser.add_argument("--shapes", nargs="+", default=list(_SHAPES))
    parser.add_argument("--mornings", nargs="+", default=["rush"])
    parser.add_argument(
        "--incidents",
        nargs="+",
        default=["none"],
        choices=list(incidents.ALL),
    )
    parser.add_argument(
        "--contenders",
        nargs="+",
        default=list(policy_variant.DEFAULT_NAMES),
        choices=list(policy_variant.ALL),
    )
    return parser.parse_args()


def _run_trial(cell: tuple[str, str, str, str, int]) -> TrialRecord:
    shape, workload_name, incident, variant, seed = cell
    settings = _WORKLOADS[workload_name]
    result = virtual_loop.run(
        trial.run(
            policy_variant.ALL[variant],
            _SHAPES[shape],
            settings,
            seed,
            incidents.ALL[incident],
        )
    )
    return TrialRecord(*cell, summary.summarize(result, settings))


def _table(records: list[TrialRecord]) -> str:
    names = list(dict.fromkeys(record.policy_variant for record in records))
    rows = [f"| figure | {' | '.join(names)} |"]
    rows.append("| --- |" + " --- |" * len(names))
    for field in summary.Summary.__struct_fields__:
        cells = [
            _cell(
                [
                    getattr(record.figures, field)
                    for record in records
                    if record.policy_variant == name
                ]
            )
            for name in names
        ]
        rows.append(f"| {field} | {' | '.join(cells)} |")
    return "\n".join(rows)


def _cell(values: list[float]) -> str:
    mean = statistics.fmean(values)
    spread = statistics.pstdev(values)
    return f"{mean:.3g} ± {spread:.2g}" if spread else f"{mean:.3g}"


if __name__ == "__main__":
    main()
