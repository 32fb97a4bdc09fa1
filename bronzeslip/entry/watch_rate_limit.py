"""Rate limit for watching prefixes that many processes write to."""

from bronzeslip.settings import entry
from bronzeslip.store import rate_limiter


def from_settings(settings: entry.EntrySettings) -> rate_limiter.RateLimit:
    """Returns the rate limit given by the settings."""
    return rate_limiter.RateLimit(
        settings.store_watches_per_s, settings.store_watch_burst
    )
