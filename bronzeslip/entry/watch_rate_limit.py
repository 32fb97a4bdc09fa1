"""Bound on the watches of lists that many write to."""

from bronzeslip.settings import entry
from bronzeslip.store import rate_limiter


def from_settings(settings: entry.EntrySettings) -> rate_limiter.RateLimit:
    """Returns the bound that the settings give."""
    return rate_limiter.RateLimit(
        settings.store_watches_per_s, settings.store_watch_burst
    )
