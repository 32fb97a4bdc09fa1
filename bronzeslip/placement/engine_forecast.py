"""Forecast load of an engine that receives a generation."""

from bronzeslip.forwarding import load_forecast


class EngineForecast(load_forecast.EndpointForecast, frozen=True):
    """Forecast load of an engine if it receives a generation.

    Attributes:
        own_prefill_s: Time to process the prompt of the generation, in seconds.
    """

    own_prefill_s: float = 0.0
