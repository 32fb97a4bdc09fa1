"""Tests of the router."""

import math
import random
import types
import unittest

from bronzeslip import ids
from bronzeslip.configuration import binding
from bronzeslip.membership import member
from bronzeslip.routing import least_outstanding
from bronzeslip.routing import policy
from bronzeslip.routing import router
from bronzeslip.transport.frames import link

_POOL = ids.PoolName("p")
_BINDING = binding.Binding((), ids.ServiceName("s"), _POOL)
_REQUEST = policy.RoutingRequest(
    ids.WorkspaceId("w"), ids.ServiceName("s"), "x", ids.RegionName("here")
)


def _endpoint(name):
    return member.Member(
        vm_id=ids.VmId(name),
        incarnation_id=ids.IncarnationId(name),
        role=member.MemberRole.SIDECAR,
        region=ids.RegionName("here"),
        failure_domain=ids.FailureDomainName("here-1"),
        address=name,
        endpoint_id=ids.EndpointId(name),
        pool=_POOL,
    )


class FakeLoads:
    """Load source with reports of some addresses only."""

    def __init__(self, *known_addresses):
        self._known_addresses = known_addresses
        self.requested = []

    def load_of(self, address):
        return link.EndpointLoad()

    def load_age_s(self, address):
        return 0.1 if address in self._known_addresses else math.inf

    def request_load(self, address):
        self.requested.append(address)


class RouterTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_load_of_endpoints_without_a_report(self):
        loads = FakeLoads("known")
        members = types.SimpleNamespace(
            endpoints_of=lambda _: [_endpoint("known"), _endpoint("unknown")]
        )
        tested_router = router.Router(
            members,
            loads,
            least_outstanding.LeastOutstandingPolicy(random.Random(1)),
        )
        tested_router.candidates(_BINDING, _REQUEST)
        self.assertEqual(loads.requested, ["unknown"])


if __name__ == "__main__":
    unittest.main()
