"""Tests of a selection of the cells of the fault matrix."""

import unittest

from tools.faults import cell
from tools.faults import cell_result
from tools.faults import fault
from tools.faults import request_kind
from tools.faults import runner
from tools.faults import step

_SEED = 1
_CELLS = (
    (request_kind.RequestKind.STREAMED, step.Step.MIDWAY),
    (request_kind.RequestKind.NON_STREAMED, step.Step.MIDWAY),
    (request_kind.RequestKind.CALL, step.Step.MIDWAY),
    (request_kind.RequestKind.CALL, step.Step.CLAIM),
)
_FAULTS = (
    fault.Fault.KILL_GATEWAY,
    fault.Fault.KILL_SIDECAR,
    fault.Fault.LINK_SILENT,
    fault.Fault.PLATFORM_DOWN,
)


class FaultMatrixTest(unittest.TestCase):
    def test_selected_cells(self):
        cells = [
            cell.Cell(step_at_fault, injected_fault, kind)
            for kind, step_at_fault in _CELLS
            for injected_fault in _FAULTS
        ]
        for result in runner.run_cells(cells, _SEED, worker_count=2):
            with self.subTest(cell=result.cell.name):
                self.assertEqual(
                    result.verdict,
                    cell_result.Verdict.PASSED,
                    result.detail,
                )


if __name__ == "__main__":
    unittest.main()
