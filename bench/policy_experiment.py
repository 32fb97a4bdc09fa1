"""Compares policies on the same seeded mornings.

Run as: python -m bench.policy_experiment --seeds 5 --table
"""

import argparse
import concurrent.futures
import itertools
import json
import statistics

import msgspec

from bench import contender
from bench import incidents
from bench import morning
from bench import summary
from bench import trial
from bench import virtual_loop
from tools import shapes

_SHAPES = {one.name: one for one in (shapes.MIDLANDS, shapes.MONGOLIA)}
_MORNINGS = {
    "rush": morning.MorningSettings(),
    "idle": morning.IDLE_MORNING,
    "overload": morning.OVERLOADED_MORNING,
}


class Trial(msgspec.Struct, frozen=True):
    """One cell of the experiment and its figures."""

    shape: str
    morning: str
    incident: str
    contender: str
    seed: int
    figures: summary.Summary


def main() -> None:
    """Runs the trials and prints JSON or a table."""
    flags = _parse()
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
        trials = list(pool.map(_run, cells))
    if flags.json:
        with open(flags.json, "w", encoding="utf-8") as target:
            json.dump(msgspec.to_builtins(trials), target, indent=1)
    for key, found in itertools.groupby(
        trials, lambda one: (one.shape, one.morning, one.incident)
    ):
        title = ", ".join((*key, f"{flags.seeds} seeds"))
        print(f"\n### {title}\n\n{_table(list(found))}")


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="policy-experiment")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--json", help="file for the figures of each trial")
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
        default=list(contender.MAIN),
        choices=list(contender.ALL),
    )
    return parser.parse_args()


def _run(cell: tuple[str, str, str, str, int]) -> Trial:
    shape, name, incident, chosen, seed = cell
    settings = _MORNINGS[name]
    result = virtual_loop.run(
        trial.run(
            contender.ALL[chosen],
            _SHAPES[shape],
            settings,
            seed,
            incidents.ALL[incident],
        )
    )
    return Trial(*cell, summary.summarize(result, settings))


def _table(trials: list[Trial]) -> str:
    names = list(dict.fromkeys(one.contender for one in trials))
    rows = [f"| figure | {' | '.join(names)} |"]
    rows.append("| --- |" + " --- |" * len(names))
    for field in summary.Summary.__struct_fields__:
        cells = [
            _cell(
                [
                    getattr(one.figures, field)
                    for one in trials
                    if one.contender == name
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
