"""Brings a request to a step and holds it there."""

import functools

from tools.faults import caller
from tools.faults import fleet
from tools.faults import request_kind
from tools.faults import service_caller
from tools.faults import step
from tools.faults import streamed_caller

LENGTH_TOKENS = 40
MIDWAY_TOKENS = 10
_READ_BEFORE_PAUSE_TOKENS = 5
_CLAIMS_PREFIX = "claims/"
_HELD_TOKENS = {
    step.Step.FIRST_TOKEN: 1,
    step.Step.MIDWAY: MIDWAY_TOKENS,
    step.Step.LAST_TOKEN: LENGTH_TOKENS,
}


class Holder:
    """Holds the request of one caller at a step."""

    def __init__(
        self,
        ground: fleet.Fleet,
        kind: request_kind.RequestKind,
        held_step: step.Step,
    ) -> None:
        self._fleet = ground
        self._kind = kind
        self._step = held_step
        self._known = ground.started_generations()

    def prepare(self, subject: caller.Caller) -> None:
        """Sets the hold before the caller starts."""
        if self._step is step.Step.ACCEPT:
            subject.hold_body()
        elif self._kind is request_kind.RequestKind.CALL:
            self._prepare_call()
        elif self._step is step.Step.DISPATCH:
            self._fleet.set_engine_modes({"silent": True})
        elif self._step in _HELD_TOKENS:
            self._fleet.set_engine_modes(
                {"hold_at_tokens": _HELD_TOKENS[self._step]}
            )

    def reach(self, subject: caller.Caller) -> int:
        """Waits until the request is held.

        Returns:
            Index of the endpoint that is involved, 0 if none is yet.
        """
        if self._step is step.Step.ACCEPT:
            subject.wait_body_held()
            return 0
        return self._reach(subject)

    def release(self, subject: caller.Caller) -> None:
        """Lets the request go on."""
        subject.free_body()
        if self._kind is request_kind.RequestKind.CALL:
            self._release_call()
            return
        for engine in self._fleet.engines:
            if engine.exit_status is None:
                self._post_quietly(engine)
        if isinstance(subject, streamed_caller.StreamedCaller):
            subject.resume_reading()

    @functools.singledispatchmethod
    def _reach(self, subject: caller.Caller) -> int:
        index = self._fleet.index_of_generation(self._known)
        self._wait_shown(index)
        return index

    @_reach.register
    def _(self, subject: streamed_caller.StreamedCaller) -> int:
        index = self._fleet.index_of_generation(self._known)
        self._wait_shown(index)
        if self._step is step.Step.ACKNOWLEDGE:
            subject.wait_tokens(_READ_BEFORE_PAUSE_TOKENS)
            subject.pause_reading()
        elif self._step in _HELD_TOKENS:
            subject.wait_tokens(_HELD_TOKENS[self._step])
        return index

    @_reach.register
    def _(self, subject: service_caller.ServiceCaller) -> int:
        if self._step is step.Step.CLAIM:
            self._wait_platform_held()
            return len(self._fleet.engines)
        if self._step is step.Step.DISPATCH:
            return self._reach_dispatch()
        index = self._fleet.index_of_call(subject.key)
        if self._step is step.Step.ACKNOWLEDGE:
            self._hold_platform()
            self._release_plain()
            self._wait_platform_held()
        return index

    def _prepare_call(self) -> None:
        if self._step in (step.Step.CLAIM, step.Step.DISPATCH):
            self._known_claims = set(self._claims())
            self._hold_platform()
        else:
            for endpoint in self._fleet.plain_endpoints:
                fleet.post(endpoint, "/standin/modes", {"hold": True})

    def _release_call(self) -> None:
        fleet.post(self._fleet.platform, "/standin/hold", None)
        for opened in self._fleet.links:
            opened.resume()
        self._release_plain()

    def _release_plain(self) -> None:
        for endpoint in self._fleet.plain_endpoints:
            if endpoint.exit_status is None:
                self._post_quietly(endpoint)

    def _post_quietly(self, endpoint: object) -> None:
        try:
            fleet.post(endpoint, "/standin/modes", {})
        except fleet.httpx.HTTPError:
            return

    def _hold_platform(self) -> None:
        hold = {"call": "put", "prefix": _CLAIMS_PREFIX}
        fleet.post(self._fleet.platform, "/standin/hold", hold)

    def _wait_platform_held(self) -> None:
        fleet.wait_for(
            lambda: fleet.get(self._fleet.platform, "/standin/held") or None,
            "no write was held",
        )

    def _reach_dispatch(self) -> int:
        """Lets the claim be written while the links to sidecars stall."""
        self._wait_platform_held()
        for opened in self._fleet.links[len(self._fleet.engines) :]:
            opened.stall()
        fleet.post(self._fleet.platform, "/standin/hold", None)

        def written() -> str | None:
            claims = self._claims()
            fresh = set(claims) - self._known_claims
            return claims[fresh.pop()] if fresh else None

        address = fleet.wait_for(written, "no claim was written")
        ports = [opened.port for opened in self._fleet.links]
        return ports.index(int(address.rpartition(":")[2]))

    def _claims(self) -> dict[str, str]:
        """Reads the sidecar's address in each claim, by key."""
        listed = fleet.get(
            self._fleet.platform, f"/objects?prefix={_CLAIMS_PREFIX}"
        )
        return {
            found["key"]: found["value"]["address"]
            for found in listed["objects"]
        }

    def _wait_shown(self, index: int) -> None:
        wanted = _HELD_TOKENS.get(self._step)
        if self._step is step.Step.ACKNOWLEDGE:
            wanted = LENGTH_TOKENS
        if wanted is None:
            return

        def shown() -> bool | None:
            counts = fleet.get(self._fleet.engines[index], "/standin/shown")
            fresh = [n for run, n in counts.items() if run not in self._known]
            return True if wanted in fresh else None

        fleet.wait_for(shown, "the tokens were not shown")
