"""Time for which a client waits for the first event of its stream."""

from bronzeslip.placement import placement_ask

# A client gives up on a stream whose first event has not arrived after the
# longest of 2 s, four times the objective and eight times the allowed pause.
# An ask does not contain the allowed pause, which is below a quarter of a
# second in the known deployments, so that the first two are longer.
_MIN_PATIENCE_S = 2.0
_PATIENCE_OBJECTIVES = 4.0
# Share of the patience for which a request that misses its objective may be
# held back.
_OVERDUE_SHARE = 0.5


def remaining_s(ask: placement_ask.PlacementAsk) -> float:
    """Returns the time until the client gives up, in seconds.

    It is limited by the deadline. The client of a request that was sent before
    may be reading its response, so that only the deadline counts.
    """
    if ask.was_sent:
        return ask.remaining_s
    return min(_patience_s(ask) - ask.waited_s, ask.remaining_s)


def max_deferral_s(ask: placement_ask.PlacementAsk) -> float:
    """Returns for how long a gateway accepts deferrals, in seconds.

    It is short for a stream that has begun, which pauses meanwhile.
    """
    return _MIN_PATIENCE_S if ask.was_sent else _patience_s(ask)


def overdue_in_s(ask: placement_ask.PlacementAsk) -> float:
    """Returns the time until a request must no longer be held back.

    Returns:
        The time in seconds, 0 or less if it has been held for half of the time
        in which its client would have given up, or if it was sent before: a
        pause of a stream that has begun grows with each deferral.
    """
    if ask.was_sent:
        return 0.0
    patience_s = ask.waited_s + remaining_s(ask)
    return _OVERDUE_SHARE * patience_s - ask.waited_s


def _patience_s(ask: placement_ask.PlacementAsk) -> float:
    """Returns for how long a client waits in total, in seconds.

    An ask contains no objective. It is derived from what is left of it and the
    time waited.
    """
    objective_s = ask.objective_left_s + ask.waited_s
    return max(_MIN_PATIENCE_S, _PATIENCE_OBJECTIVES * objective_s)
