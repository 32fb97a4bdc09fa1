"""Runs cells of the fault matrix on parallel deployments."""

from collections.abc import Sequence
import concurrent.futures
import random
import time

from tools.faults import cell
from tools.faults import cell_result
from tools.faults import request_cells
from tools.faults import request_trial
from tools.faults import trial_deployment


def run_cells(
    cells: Sequence[cell.Cell], seed: int, worker_count: int
) -> list[cell_result.CellResult]:
    """Runs cells and returns their results in the same order.

    Args:
        cells: Cells to run.
        seed: Seed of the trials.
        worker_count: Number of deployments that run in parallel.
    """
    partitions = [cells[index::worker_count] for index in range(worker_count)]
    with concurrent.futures.ThreadPoolExecutor(worker_count) as pool:
        results_by_partition = list(
            pool.map(
                lambda partition: _run_partition(partition, seed), partitions
            )
        )
    results_by_cell = {
        result.cell: result
        for partition_results in results_by_partition
        for result in partition_results
    }
    return [results_by_cell[matrix_cell] for matrix_cell in cells]


def _run_partition(
    cells: Sequence[cell.Cell], seed: int
) -> list[cell_result.CellResult]:
    deployment = trial_deployment.TrialDeployment()
    try:
        deployment.start()
        return [
            _run_cell(deployment, matrix_cell, seed) for matrix_cell in cells
        ]
    finally:
        deployment.stop()


def _run_cell(
    deployment: trial_deployment.TrialDeployment,
    matrix_cell: cell.Cell,
    seed: int,
) -> cell_result.CellResult:
    reason = request_cells.inapplicable_reason(matrix_cell)
    if reason:
        return cell_result.CellResult(
            matrix_cell, cell_result.Verdict.NOT_APPLICABLE, reason
        )
    started_s = time.monotonic()
    rng = random.Random(f"{seed} {matrix_cell.name}")
    try:
        violations = request_trial.RequestTrial(
            deployment, matrix_cell, rng
        ).run()
    except RuntimeError as error:
        violations = [f"the trial was aborted: {error}"]
    deployment.repair()
    verdict = (
        cell_result.Verdict.FAILED if violations else cell_result.Verdict.PASSED
    )
    return cell_result.CellResult(
        matrix_cell,
        verdict,
        "; ".join(violations),
        time.monotonic() - started_s,
    )
