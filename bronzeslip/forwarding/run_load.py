"""Load of one generation at the engine that runs it."""

import contextlib

from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import load_forecast


class RunLoad:
    """Counts a run as in flight at one engine at a time."""

    def __init__(
        self,
        in_flight: in_flight_requests.InFlightRequests,
        request: admitted.AdmittedRequest,
    ) -> None:
        """Creates the load of a run that has not been sent yet.

        Args:
            in_flight: Requests of this gateway in flight at each endpoint.
            request: Request of the run.
        """
        self._in_flight = in_flight
        self._request = request
        self._registration = contextlib.ExitStack()

    def register(self, engine: endpoint.Endpoint, has_copy: bool) -> None:
        """Counts the run as in flight at an engine and at no other.

        Args:
            engine: Engine that the request is sent to.
            has_copy: Whether the engine holds a copy of the run, so that it
                need not process the prompt.
        """
        shape = self._request.request.shape
        prompt_tokens = (
            0 if has_copy else load_forecast.prompt_tokens(self._request)
        )
        expected_tokens = shape.expected_tokens if shape else 0
        self.close()
        self._registration.enter_context(
            self._in_flight.track(
                engine.endpoint_id,
                prompt_tokens,
                expected_tokens,
                chooser.is_long_generation(self._request),
                self._request.request.request_id,
            )
        )

    def close(self) -> None:
        """Ends the registration."""
        self._registration.close()
