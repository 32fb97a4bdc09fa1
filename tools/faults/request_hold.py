"""Holds a request at a step while a fault is injected."""

import functools

from tools.faults import caller
from tools.faults import request_kind
from tools.faults import service_caller
from tools.faults import step
from tools.faults import streaming_caller
from tools.faults import trial_deployment

LENGTH_TOKENS = 40
MIDWAY_TOKENS = 10
_READ_BEFORE_PAUSE_TOKENS = 5
_CLAIMS_PREFIX = "claims/"
_TOKENS_AT_STEP = {
    step.Step.FIRST_TOKEN: 1,
    step.Step.MIDWAY: MIDWAY_TOKENS,
    step.Step.LAST_TOKEN: LENGTH_TOKENS,
}


class RequestHold:
    """Holds the request of one caller at a step."""

    def __init__(
        self,
        deployment: trial_deployment.TrialDeployment,
        kind: request_kind.RequestKind,
        held_step: step.Step,
    ) -> None:
        self._deployment = deployment
        self._kind = kind
        self._step = held_step
        self._known_generations = deployment.started_generations()

    def prepare(self, held_caller: caller.Caller) -> None:
        """Sets up the hold before the caller starts."""
        if self._step is step.Step.ACCEPT:
            held_caller.hold_body()
        elif self._kind is request_kind.RequestKind.CALL:
            self._prepare_call()
        elif self._step is step.Step.DISPATCH:
            self._deployment.set_engine_modes({"silent": True})
        elif self._step in _TOKENS_AT_STEP:
            self._deployment.set_engine_modes(
                {"hold_at_tokens": _TOKENS_AT_STEP[self._step]}
            )

    def wait_until_held(self, held_caller: caller.Caller) -> int:
        """Waits until the request is held at the step.

        Returns:
            Index of the endpoint involved, 0 if there is none yet.
        """
        if self._step is step.Step.ACCEPT:
            held_caller.wait_body_held()
            return 0
        return self._wait_until_held(held_caller)

    def release(self, held_caller: caller.Caller) -> None:
        """Lets the request continue."""
        held_caller.release_body()
        if self._kind is request_kind.RequestKind.CALL:
            self._release_call()
            return
        for engine in self._deployment.engines:
            if engine.exit_status is None:
                self._try_reset_modes(engine)
        if isinstance(held_caller, streaming_caller.StreamingCaller):
            held_caller.resume_reading()

    @functools.singledispatchmethod
    def _wait_until_held(self, held_caller: caller.Caller) -> int:
        index = self._deployment.wait_for_generation(self._known_generations)
        self._wait_for_tokens(index)
        return index

    @_wait_until_held.register
    def _(self, held_caller: streaming_caller.StreamingCaller) -> int:
        index = self._deployment.wait_for_generation(self._known_generations)
        self._wait_for_tokens(index)
        if self._step is step.Step.ACKNOWLEDGE:
            held_caller.wait_tokens(_READ_BEFORE_PAUSE_TOKENS)
            held_caller.pause_reading()
        elif self._step in _TOKENS_AT_STEP:
            held_caller.wait_tokens(_TOKENS_AT_STEP[self._step])
        return index

    @_wait_until_held.register
    def _(self, held_caller: service_caller.ServiceCaller) -> int:
        if self._step is step.Step.CLAIM:
            self._wait_platform_held()
            return len(self._deployment.engines)
        if self._step is step.Step.DISPATCH:
            return self._hold_at_dispatch()
        index = self._deployment.wait_for_call(held_caller.key)
        if self._step is step.Step.ACKNOWLEDGE:
            self._hold_platform()
            self._release_plain_endpoints()
            self._wait_platform_held()
        return index

    def _prepare_call(self) -> None:
        if self._step in (step.Step.CLAIM, step.Step.DISPATCH):
            self._known_claims = set(self._claims())
            self._hold_platform()
        else:
            for endpoint in self._deployment.plain_endpoints:
                trial_deployment.post(
                    endpoint, "/standin/modes", {"hold": True}
                )

    def _release_call(self) -> None:
        trial_deployment.post(self._deployment.platform, "/standin/hold", None)
        for proxy in self._deployment.proxies:
            proxy.resume()
        self._release_plain_endpoints()

    def _release_plain_endpoints(self) -> None:
        for endpoint in self._deployment.plain_endpoints:
            if endpoint.exit_status is None:
                self._try_reset_modes(endpoint)

    def _try_reset_modes(self, endpoint: object) -> None:
        try:
            trial_deployment.post(endpoint, "/standin/modes", {})
        except trial_deployment.httpx.HTTPError:
            return

    def _hold_platform(self) -> None:
        hold = {"call": "put", "prefix": _CLAIMS_PREFIX}
        trial_deployment.post(self._deployment.platform, "/standin/hold", hold)

    def _wait_platform_held(self) -> None:
        trial_deployment.wait_for(
            lambda: (
                trial_deployment.get(self._deployment.platform, "/standin/held")
                or None
            ),
            "the platform held no write",
        )

    def _hold_at_dispatch(self) -> int:
        """Stalls the plain endpoints' proxies, then lets the claim be written.

        Returns:
            Index of the endpoint that the claim names.
        """
        self._wait_platform_held()
        for proxy in self._deployment.proxies[len(self._deployment.engines) :]:
            proxy.stall()
        trial_deployment.post(self._deployment.platform, "/standin/hold", None)

        def new_claim_address() -> str | None:
            claims = self._claims()
            new_keys = set(claims) - self._known_claims
            return claims[new_keys.pop()] if new_keys else None

        address = trial_deployment.wait_for(
            new_claim_address, "no claim was written"
        )
        ports = [proxy.port for proxy in self._deployment.proxies]
        return ports.index(int(address.rpartition(":")[2]))

    def _claims(self) -> dict[str, str]:
        """Returns the sidecar address of each claim by claim key."""
        object_list = trial_deployment.get(
            self._deployment.platform, f"/objects?prefix={_CLAIMS_PREFIX}"
        )
        return {
            claim["key"]: claim["value"]["address"]
            for claim in object_list["objects"]
        }

    def _wait_for_tokens(self, index: int) -> None:
        token_count = _TOKENS_AT_STEP.get(self._step)
        if self._step is step.Step.ACKNOWLEDGE:
            token_count = LENGTH_TOKENS
        if token_count is None:
            return

        def has_token_count() -> bool | None:
            counts = trial_deployment.get(
                self._deployment.engines[index], "/standin/shown"
            )
            new_counts = [
                n
                for run, n in counts.items()
                if run not in self._known_generations
            ]
            return True if token_count in new_counts else None

        trial_deployment.wait_for(
            has_token_count, "the engine did not send the expected tokens"
        )
