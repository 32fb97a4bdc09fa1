"""Rate limit for watching prefixes that many processes write to."""

from bronzeslip.entry import vm_config
from bronzeslip.settings import entry
from bronzeslip.store import rate_limiter

# Share of the time within which a change must be known that may pass until the
# next watch call; the rest is for the call itself.
_INTERVAL_SHARE = 0.6
# A coordinator names new engines at once; a gateway that does not know them
# yet has to choose another itself.
_RELAXED_INTERVAL_S = 3.0


def create_relaxed(
    settings: entry.EntrySettings, bounds: vm_config.PlaceBounds
) -> rate_limiter.RateLimit:
    """Returns a lower rate that the bounds still allow.

    It is for gateways whose requests are placed by a coordinator, which learns
    of leaving engines by their reports and asks the store at the full rate.
    """
    full = create(settings, bounds)
    interval_s = min(_INTERVAL_SHARE * bounds.drain_s, _RELAXED_INTERVAL_S)
    return rate_limiter.RateLimit(min(full.calls_per_s, 1 / interval_s), 1.0)


def create(
    settings: entry.EntrySettings, bounds: vm_config.PlaceBounds
) -> rate_limiter.RateLimit:
    """Returns the rate given by the settings, or what the bounds require."""
    required_per_s = 1 / (_INTERVAL_SHARE * bounds.drain_s)
    return rate_limiter.RateLimit(
        max(settings.store_watches_per_s, required_per_s),
        settings.store_watch_burst,
    )
