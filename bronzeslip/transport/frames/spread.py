"""Messages between a relay and its followers."""

import msgspec

from bronzeslip import ids


class FollowPrefix(msgspec.Struct, frozen=True, tag="follow"):
    """Asks a relay for the objects under a prefix.

    Attributes:
        prefix: Start of the keys.
        version: Version that the follower has, -1 for none.
    """

    prefix: str
    version: ids.ObjectVersion


class PrefixSnapshot(msgspec.Struct, frozen=True, tag="prefix-snapshot"):
    """Carries the whole state of a prefix.

    Attributes:
        prefix: Prefix asked for.
        version: Version of the state.
        age_s: Time since the platform confirmed it, in seconds.
        listed: Compressed object list.
    """

    prefix: str
    version: ids.ObjectVersion
    age_s: float
    listed: bytes


class PrefixDelta(msgspec.Struct, frozen=True, tag="prefix-delta"):
    """Carries the changes of a prefix between two versions.

    Attributes:
        prefix: Prefix asked for.
        base: Version that the follower has.
        version: Version that it has after the events.
        age_s: Time since the platform confirmed it, in seconds.
        events: Compressed events.
    """

    prefix: str
    base: ids.ObjectVersion
    version: ids.ObjectVersion
    age_s: float
    events: bytes


class PrefixPosition(msgspec.Struct, frozen=True, array_like=True):
    """Tells that a prefix has not changed between two versions.

    Attributes:
        prefix: Prefix followed.
        base: Version that the follower was last told.
        version: Version that it has now.
    """

    prefix: str
    base: ids.ObjectVersion
    version: ids.ObjectVersion


class RelayHeartbeat(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="relay-heartbeat"
):
    """Shows that a relay is alive.

    Attributes:
        age_s: Time since the platform confirmed what was sent, in seconds.
        positions: Versions that were sent, of prefixes that have changed; now
            and then of all, so that a follower notices what it has missed.
    """

    age_s: float
    positions: tuple[PrefixPosition, ...] = ()


class Laggard(msgspec.Struct, frozen=True, array_like=True):
    """A process behind others.

    Attributes:
        name: Id of its VM.
        number: Configuration number that it has in force.
    """

    name: str
    number: ids.ConfigurationNumber


class DomainSummary(msgspec.Struct, frozen=True, array_like=True):
    """What processes of one failure domain have in force.

    Attributes:
        failure_domain: The failure domain.
        counts: Processes by configuration number.
        laggards: Some of the processes that have the lowest numbers.
        gateways: Gateways that are counted here with their followers.
    """

    failure_domain: ids.FailureDomainName
    counts: dict[ids.ConfigurationNumber, int]
    laggards: tuple[Laggard, ...] = ()
    gateways: tuple[ids.VmId, ...] = ()


class StatusReport(msgspec.Struct, frozen=True, tag="status-report"):
    """Tells a relay what its follower, and those behind it, have in force."""

    domains: tuple[DomainSummary, ...]


class AskStatus(msgspec.Struct, frozen=True, tag="ask-status"):
    """Asks a gateway for its summary."""


class StatusAnswer(msgspec.Struct, frozen=True, tag="status-answer"):
    """Carries a gateway's summary of itself and its followers."""

    domains: tuple[DomainSummary, ...]
