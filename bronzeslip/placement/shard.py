"""Shards of the endpoints of a service."""

import math

import msgspec
import xxhash

from bronzeslip import ids

# Gateways that may place on a shard. Records of gateways that were killed stay
# in the store, so that the first two may be gone for long.
RANKED_COUNT = 4
# Endpoints that one coordinator polls and compares for each generation.
_MAX_ENDPOINTS = 64
# Gateways that see twice as many endpoints as the coordinator are served. More
# shards would come from a faulty gateway and cost work for each engine.
_MAX_COUNT_RATIO = 2


class Shard(msgspec.Struct, frozen=True):
    """Endpoints of a service that one coordinator places generations on.

    Attributes:
        service_name: Name of the service.
        index: Index of the shard.
        count: Number of shards of the service.
    """

    service_name: ids.ServiceName
    index: int
    count: int

    @property
    def key(self) -> str:
        """Key by which the coordinator is ranked."""
        return f"placement/{self.service_name}/{self.index}/{self.count}"

    def is_plausible(self, endpoint_count: int) -> bool:
        """Returns whether a gateway may ask for the shard.

        Args:
            endpoint_count: Number of ready endpoints known here. That of the
                asking gateway may differ, for example by a failure domain.
        """
        max_count = _MAX_COUNT_RATIO * _count(endpoint_count)
        return self.index < self.count <= max_count

    def contains(self, endpoint_id: ids.EndpointId) -> bool:
        """Returns whether an endpoint of the service is in the shard."""
        return self.count == 1 or _index(endpoint_id, self.count) == self.index


def of_gateway(
    vm_id: ids.VmId, service_name: ids.ServiceName, endpoint_count: int
) -> Shard:
    """Returns the shard that a gateway sends the generations of a service to.

    Args:
        vm_id: VM of the gateway.
        service_name: Name of the service.
        endpoint_count: Number of ready endpoints of the service.
    """
    count = _count(endpoint_count)
    return Shard(service_name, _index(vm_id, count), count)


def _count(endpoint_count: int) -> int:
    return max(math.ceil(endpoint_count / _MAX_ENDPOINTS), 1)


def _index(name: str, count: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % count
