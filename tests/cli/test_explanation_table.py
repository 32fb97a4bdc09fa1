"""Tests of bronzeslip.cli.explanation_table."""

import unittest

from bronzeslip.cli import explanation_table
from bronzeslip.explanation import decision
from bronzeslip.explanation import explanation
from bronzeslip.explanation import service_explanation
from bronzeslip.explanation import verdict

Verdict = verdict.Verdict


def _render(taken, coordinators=("front-2", "front-3")):
    return explanation_table.to_text(
        explanation.Explanation(
            gateway="front-1",
            route="r",
            permitted_regions=("a", "b"),
            services=(
                service_explanation.ServiceExplanation(
                    service="pool",
                    share=0.25,
                    is_coordinated=True,
                    coordinators=coordinators,
                    decision=taken,
                    endpoints=(),
                ),
            ),
        )
    )


class TableTest(unittest.TestCase):
    # Guards against a local choice that is read as that of the coordinator.
    def test_choice_of_a_coordinated_service_is_conditional(self):
        text = _render(
            decision.Decision(
                verdict=Verdict.ASK_COORDINATOR, endpoint_id="one"
            )
        )
        self.assertIn("allowed regions: a, b", text)
        self.assertIn("service pool (25% of the route)", text)
        self.assertIn("coordinated by front-2, then front-3", text)
        self.assertIn("without its reply sent to one", text)
        self.assertIn("no endpoints are known", text)

    def test_refusal_states_reason_and_time(self):
        text = _render(
            decision.Decision(
                verdict=Verdict.REFUSE,
                status=503,
                code="evacuated",
                reason="all are evacuated",
                retry_after_s=1.256,
            ),
            coordinators=(),
        )
        self.assertIn("coordinated by no gateway", text)
        self.assertIn(
            "refused with 503 (evacuated): all are evacuated; "
            "retry after 1.26 s",
            text,
        )


if __name__ == "__main__":
    unittest.main()
