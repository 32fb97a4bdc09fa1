"""Runs cells of the matrix on fleets side by side."""

from collections.abc import Sequence
import concurrent.futures
import random
import time

from tools.faults import cell
from tools.faults import cell_result
from tools.faults import fleet
from tools.faults import request_cells
from tools.faults import request_trial


def run_cells(
    cells: Sequence[cell.Cell], seed: int, worker_count: int
) -> list[cell_result.CellResult]:
    """Runs cells and returns their results in the same sequence.

    Args:
        cells: Cells to run.
        seed: Seed of the trials.
        worker_count: Fleets that run side by side.
    """
    shares = [cells[index::worker_count] for index in range(worker_count)]
    with concurrent.futures.ThreadPoolExecutor(worker_count) as pool:
        parts = list(pool.map(lambda share: _run_share(share, seed), shares))
    found = {result.cell: result for part in parts for result in part}
    return [found[wanted] for wanted in cells]


def _run_share(
    cells: Sequence[cell.Cell], seed: int
) -> list[cell_result.CellResult]:
    ground = fleet.Fleet()
    try:
        ground.start()
        return [_run_cell(ground, wanted, seed) for wanted in cells]
    finally:
        ground.stop()


def _run_cell(
    ground: fleet.Fleet, wanted: cell.Cell, seed: int
) -> cell_result.CellResult:
    reason = request_cells.not_applicable(wanted)
    if reason:
        return cell_result.CellResult(
            wanted, cell_result.Verdict.NOT_APPLICABLE, reason
        )
    started_s = time.monotonic()
    rng = random.Random(f"{seed} {wanted.name}")
    try:
        wrong = request_trial.RequestTrial(ground, wanted, rng).run()
    except RuntimeError as error:
        wrong = [f"the trial broke off: {error}"]
    ground.repair()
    verdict = (
        cell_result.Verdict.FAILED if wrong else cell_result.Verdict.PASSED
    )
    return cell_result.CellResult(
        wanted, verdict, "; ".join(wrong), time.monotonic() - started_s
    )
