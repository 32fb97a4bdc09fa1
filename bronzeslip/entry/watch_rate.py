"""Bound on the watches of lists that many write to."""

from bronzeslip.settings import entry
from bronzeslip.store import call_budget


def of_settings(settings: entry.EntrySettings) -> call_budget.CallRate:
    """Returns the bound that the settings give."""
    return call_budget.CallRate(
        settings.store_watches_per_s, settings.store_watch_burst
    )
