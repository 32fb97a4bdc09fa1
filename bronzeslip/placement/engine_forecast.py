"""Forecast load of an engine that receives a generation."""

from bronzeslip.forwarding import load_forecast


class EngineForecast(load_forecast.EndpointForecast, frozen=True):
    """Forecast load of an engine if it receives a generation.

    Attributes:
        own_prefill_s: Time to process the prompt of the generation, in seconds.
        pace: How long work takes at the engine, 1.0 being normal.
    """

    own_prefill_s: float = 0.0
    pace: float = 1.0
