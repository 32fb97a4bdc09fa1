"""Tests of the orders that an assignment requires."""

import unittest

from bronzeslip.configuration import assignment
from bronzeslip.engine import messages
from bronzeslip.orders import plan

_STATE = messages.EngineState("m", "1", {"old": "1"}, "serve", 0)


class RequiredOrdersTest(unittest.TestCase):
    def test_no_orders_when_assignment_is_reached(self):
        desired = assignment.Assignment("m", "1", adapters={"old": "1"})
        self.assertEqual(plan.required_orders(_STATE, desired, 4), [])

    def test_model_is_loaded_before_adapters_and_role(self):
        desired = assignment.Assignment("m", "2", "decode", {"new": "5"})
        orders = plan.required_orders(_STATE, desired, 4)
        self.assertEqual(
            [order.kind for order in orders],
            [
                messages.OrderKind.LOAD_MODEL,
                messages.OrderKind.LOAD_ADAPTER,
                messages.OrderKind.SET_ROLE,
            ],
        )
        self.assertEqual({order.fencing_number for order in orders}, {4})

    def test_only_adapters_do_not_require_an_idle_engine(self):
        desired = assignment.Assignment("m", "2", "decode", {"new": "5"})
        requires_idle = [
            plan.requires_idle_engine(order)
            for order in plan.required_orders(_STATE, desired, 4)
        ]
        self.assertEqual(requires_idle, [True, False, True])


if __name__ == "__main__":
    unittest.main()
