"""Tests of the routing policy for cached prefixes, load and region."""

import collections
import dataclasses
import math
import random
import unittest

from bronzeslip import ids
from bronzeslip.membership import member
from bronzeslip.routing import candidate
from bronzeslip.routing import policy
from bronzeslip.routing import prefix_load
from bronzeslip.settings import gateway
from bronzeslip.transport.frames import link

_SETTINGS = gateway.GatewaySettings(
    vm_id="vm",
    region="here",
    failure_domain="here-1",
    peer_key="key",
    platform_url="",
)
_LOAD = link.EndpointLoad(running=10, memory_peak_ratio=0.3, step_time_s=0.02)


def _option(name, load=_LOAD, region="here", age_s=0.1, **counts):
    endpoint = member.Member(
        vm_id=ids.VmId(name),
        incarnation_id=ids.IncarnationId(name),
        role=member.MemberRole.SIDECAR,
        region=ids.RegionName(region),
        failure_domain=ids.FailureDomainName(region),
        address=name,
        endpoint_id=ids.EndpointId(name),
    )
    return candidate.Candidate(
        endpoint,
        counts.get("outstanding", 0),
        load,
        age_s,
        counts.get("sent_since_load", 0),
    )


def _option_with(**changes):
    return _option(
        "changed",
        link.EndpointLoad(
            **{
                "running": 10,
                "memory_peak_ratio": 0.3,
                "step_time_s": 0.02,
                **changes,
            }
        ),
    )


def _request(prefix="p", suffix=0):
    prompt = f"{prefix} " * 2500 + f"particulars {suffix}"
    return policy.RoutingRequest(
        ids.WorkspaceId("w"),
        ids.ServiceName("s"),
        prompt,
        ids.RegionName("here"),
    )


def _policy(seed=1, **changes):
    return prefix_load.PrefixLoadPolicy(
        dataclasses.replace(_SETTINGS, **changes), random.Random(seed)
    )


def _first(prefix_policy, options, request=None):
    return prefix_policy.order(request or _request(), options)[
        0
    ].endpoint.endpoint_id


class PrefixLoadPolicyTest(unittest.TestCase):
    def test_prefers_endpoint_that_received_the_prefix(self):
        prefix_policy = _policy()
        options = [_option(f"e{index}") for index in range(5)]
        prefix_policy.record_accepted(_request(suffix=1), ids.EndpointId("e3"))
        self.assertEqual(
            _first(prefix_policy, options, _request(suffix=2)), "e3"
        )

    def test_gateways_agree_on_home_of_shared_prefix(self):
        options = [_option(f"e{index}") for index in range(7)]
        homes = set()
        for seed in range(4):
            gateway_policy = _policy(seed, prefix_min_homes=1)
            for number in range(8):
                for prefix in range(16):
                    gateway_policy.order(
                        _request(f"p{prefix}", number), options
                    )
            homes.add(_first(gateway_policy, options, _request("p0", 99)))
        self.assertEqual(len(homes), 1)

    def test_hot_prefix_is_spread_when_its_home_is_loaded(self):
        prefix_policy = _policy()
        sent = collections.Counter()
        for number in range(100):
            options = [
                _option(f"e{index}", sent_since_load=sent[f"e{index}"])
                for index in range(4)
            ]
            endpoint_id = _first(
                prefix_policy, options, _request(suffix=number)
            )
            prefix_policy.record_accepted(_request(suffix=number), endpoint_id)
            sent[endpoint_id] += 1
        self.assertGreater(min(sent[f"e{index}"] for index in range(4)), 10)

    def test_avoids_worse_endpoint(self):
        cases = {
            "queue": _option_with(queue_wait_s=5.0),
            "memory": _option_with(memory_peak_ratio=1.1),
            "slow": _option_with(step_time_s=0.08),
            "draining": _option_with(draining=True),
            "far": _option("changed", region="there"),
            "stale": _option("changed", link.EndpointLoad(), age_s=math.inf),
            "sent": _option("changed", sent_since_load=30),
        }
        others = [_option("a"), _option("b")]
        for name, changed in cases.items():
            with self.subTest(name):
                order = _policy().order(_request(), [changed, *others])
                self.assertEqual(order[-1].endpoint.endpoint_id, "changed")

    def test_leaves_region_when_near_endpoint_is_full(self):
        near = _option(
            "near", link.EndpointLoad(queue_wait_s=3.0, memory_peak_ratio=1.0)
        )
        far = _option("far", region="there")
        self.assertEqual(_first(_policy(), [near, far]), "far")


if __name__ == "__main__":
    unittest.main()
