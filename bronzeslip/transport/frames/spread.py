"""Messages between a relay and its followers."""

import msgspec

from bronzeslip import ids


class FollowPrefix(msgspec.Struct, frozen=True, tag="follow"):
    """Requests the objects under a prefix from a relay.

    Attributes:
        prefix: Prefix of the keys.
        version: Version that the follower has; -1 for none.
    """

    prefix: str
    version: ids.ObjectVersion


class PrefixSnapshot(msgspec.Struct, frozen=True, tag="prefix-snapshot"):
    """Contains the complete state of a prefix.

    Attributes:
        prefix: Requested prefix.
        version: Version of the state.
        age_s: Time since the platform confirmed it, in seconds.
        listed: Compressed object list.
    """

    prefix: str
    version: ids.ObjectVersion
    age_s: float
    listed: bytes


class PrefixDelta(msgspec.Struct, frozen=True, tag="prefix-delta"):
    """Contains the changes of a prefix between two versions.

    Attributes:
        prefix: Requested prefix.
        base: Version that the events apply to.
        version: Version after the events are applied.
        age_s: Time since the platform confirmed it, in seconds.
        events: Compressed events.
    """

    prefix: str
    base: ids.ObjectVersion
    version: ids.ObjectVersion
    age_s: float
    events: bytes


class PrefixPosition(msgspec.Struct, frozen=True, array_like=True):
    """Reports that a prefix has not changed between two versions.

    Attributes:
        prefix: Requested prefix.
        base: Version last announced to the follower.
        version: Current version of the follower.
    """

    prefix: str
    base: ids.ObjectVersion
    version: ids.ObjectVersion


class RelayHeartbeat(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="relay-heartbeat"
):
    """Signals that a relay is alive.

    Attributes:
        age_s: Time since the platform confirmed the data sent, in seconds.
        positions: Versions of the prefixes that have changed; at regular
            intervals, versions of all prefixes, so that a follower detects
            missed events.
    """

    age_s: float
    positions: tuple[PrefixPosition, ...] = ()


class Laggard(msgspec.Struct, frozen=True, array_like=True):
    """A process below the highest configuration number.

    Attributes:
        name: Id of its VM.
        number: Active configuration number of the process.
    """

    name: str
    number: ids.ConfigurationNumber


class DomainSummary(msgspec.Struct, frozen=True, array_like=True):
    """Active configuration numbers of processes in one failure domain.

    Attributes:
        failure_domain: Name of the failure domain.
        counts: Process count by configuration number.
        laggards: Processes with the lowest numbers; possibly not all.
        gateways: Gateways included in the counts with their followers.
    """

    failure_domain: ids.FailureDomainName
    counts: dict[ids.ConfigurationNumber, int]
    laggards: tuple[Laggard, ...] = ()
    gateways: tuple[ids.VmId, ...] = ()


class StatusReport(msgspec.Struct, frozen=True, tag="status-report"):
    """Reports the summary of a follower and its own followers to a relay."""

    domains: tuple[DomainSummary, ...]


class AskStatus(msgspec.Struct, frozen=True, tag="ask-status"):
    """Requests the summary of a gateway."""


class StatusAnswer(msgspec.Struct, frozen=True, tag="status-answer"):
    """Returns the summary of a gateway and its followers."""

    domains: tuple[DomainSummary, ...]
