"""Runs the tests and prints a one-line summary."""

import argparse
import faulthandler
import gc
import pathlib
import sys
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_FAILURES_FILE = _ROOT / "KNOWN-RED.txt"
_TEST_ENTRY_PREFIX = "test:"
_TEST_TIMEOUT_S = 300
# Allocated objects after which garbage is collected between two tests.
_COLLECTED_AFTER_OBJECTS = 50_000


def main() -> None:
    """Runs all tests, or those of the given modules."""
    parser = argparse.ArgumentParser(prog="run-tests")
    parser.add_argument(
        "modules", nargs="*", help="test modules to run (default: all)"
    )
    flags = parser.parse_args()
    loader = unittest.TestLoader()
    if flags.modules:
        suite = loader.loadTestsFromNames(flags.modules)
    else:
        suite = loader.discover(str(_ROOT / "tests"), top_level_dir=str(_ROOT))
    runner = unittest.TextTestRunner(
        verbosity=1, buffer=True, resultclass=_TimeoutResult
    )
    # A collection within a test would stop its event loop for up to 0.4 s.
    gc.disable()
    result = runner.run(suite)
    sys.exit(_report(result))


class _TimeoutResult(unittest.TextTestResult):
    """Aborts the run with all stack traces if one test does not finish."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        faulthandler.dump_traceback_later(
            _TEST_TIMEOUT_S, exit=True, file=sys.__stderr__
        )
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        faulthandler.cancel_dump_traceback_later()
        super().stopTest(test)
        allocated_objects, *_ = gc.get_count()
        if allocated_objects > _COLLECTED_AFTER_OBJECTS:
            gc.collect()


def known_failures() -> tuple[str, ...]:
    """Lists the tests that are known to fail."""
    lines = _KNOWN_FAILURES_FILE.read_text().splitlines()
    return tuple(
        line.removeprefix(_TEST_ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(_TEST_ENTRY_PREFIX)
    )


def _report(result: unittest.TestResult) -> int:
    failing = {test.id() for test, _ in (*result.failures, *result.errors)}
    failing |= {test.id() for test in result.unexpectedSuccesses}
    known = set(known_failures())
    for name in sorted(failing & known):
        print(f"known red: {name}")
    for name in sorted(failing - known):
        print(f"failed: {name}")
    failed = len(failing - known)
    passed = result.testsRun - len(failing)
    skipped = len(result.skipped)
    skipped_suffix = f", {skipped} skipped" if skipped else ""
    print(f"{passed - skipped} passed, {failed} failed{skipped_suffix}")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    main()
