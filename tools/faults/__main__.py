"""Runs the fault matrix and prints its results."""

import argparse
import collections
import sys

from tools.faults import cell_result
from tools.faults import page
from tools.faults import request_cells
from tools.faults import runner


def main() -> None:
    """Runs the cells whose names contain the text of --match."""
    parser = argparse.ArgumentParser(prog="faults")
    parser.add_argument("--match", default="", help="part of a cell's name")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument(
        "--page", action="store_true", help="write docs/FAULTS.md"
    )
    flags = parser.parse_args()
    cells = [
        matrix_cell
        for matrix_cell in request_cells.all_cells()
        if flags.match in matrix_cell.name
    ]
    results = runner.run_cells(cells, flags.seed, flags.workers)
    for result in results:
        print(
            f"{result.verdict.value:15}{result.cell.name:55}"
            f"{result.duration_s:6.1f} s  {result.detail}"
        )
    if flags.page:
        page.PAGE.write_text(page.render(results, flags.seed))
    counts = collections.Counter(result.verdict for result in results)
    print({verdict.value: count for verdict, count in counts.items()})
    sys.exit(counts[cell_result.Verdict.FAILED] > 0)


if __name__ == "__main__":
    main()
