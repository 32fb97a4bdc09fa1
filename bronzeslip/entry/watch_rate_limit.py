"""Rate limit for watching prefixes that many processes write to."""

from bronzeslip.entry import vm_config
from bronzeslip.settings import entry
from bronzeslip.store import rate_limiter

# Share of the time within which a change must be known that may pass until the
# next watch call; the rest is for the call itself.
_INTERVAL_SHARE = 0.6


def create(
    settings: entry.EntrySettings, bounds: vm_config.PlaceBounds
) -> rate_limiter.RateLimit:
    """Returns the rate given by the settings, or what the bounds require."""
    required_per_s = 1 / (_INTERVAL_SHARE * bounds.drain_s)
    return rate_limiter.RateLimit(
        max(settings.store_watches_per_s, required_per_s),
        settings.store_watch_burst,
    )
