"""Tests of the batching model of the engine stand-in."""

import unittest

from standins.engine import model
from standins.engine import sequence

_MAX_STEPS = 2000


def _run(engine, *added):
    for new_sequence in added:
        engine.add(new_sequence)
    steps = 0
    while not engine.is_idle and steps < _MAX_STEPS:
        engine.step()
        steps += 1
    return steps


def _sequence(name, prompt_words, length, priority=0):
    prompt = f"#length={length} " + "w " * (prompt_words - 1)
    return sequence.Sequence(name, prompt, 10_000, priority)


class EngineModelTest(unittest.TestCase):
    def test_sequence_larger_than_memory_ends_by_length(self):
        engine = model.EngineModel(model.EngineParameters(blocks_total=8))
        growing = _sequence("a", 64, 500)
        self.assertLess(_run(engine, growing), _MAX_STEPS)
        self.assertEqual(growing.finish_reason, "length")

    def test_prompt_larger_than_memory_does_not_fit(self):
        engine = model.EngineModel(model.EngineParameters(blocks_total=8))
        self.assertFalse(engine.fits(_sequence("a", 200, 5)))

    def test_preempts_lowest_priority_and_finishes_all(self):
        engine = model.EngineModel(model.EngineParameters(blocks_total=16))
        high = _sequence("high", 60, 120, priority=1)
        low = _sequence("low", 60, 120)
        self.assertLess(_run(engine, high, low), _MAX_STEPS)
        self.assertEqual(high.preemption_count, 0)
        self.assertGreater(low.preemption_count, 0)
        self.assertEqual(len(low.texts), 120)
        self.assertEqual(engine.blocks_used, 0)

    def test_prefill_lengthens_step(self):
        parameters = model.EngineParameters(step_per_prefill_token_s=0.0001)
        engine = model.EngineModel(parameters)
        engine.add(_sequence("a", 100, 5))
        self.assertAlmostEqual(engine.step_time_s(), 0.02)


if __name__ == "__main__":
    unittest.main()
