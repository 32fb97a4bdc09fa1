"""Keeps prompts with parts that crash endpoints away from them."""

from bronzeslip import logs
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import errors
from bronzeslip.routing import fingerprint
from bronzeslip.routing import part_quarantine
from bronzeslip.routing import poison_parts
from bronzeslip.routing import quarantine_trials
from bronzeslip.routing import suspect_publisher

logger = logs.get_logger(__name__)


class PartWatch:
    """Refuses requests by the parts of their prompts and records answers."""

    def __init__(
        self,
        quarantine: part_quarantine.PartQuarantine,
        publisher: suspect_publisher.SuspectPublisher,
        suspect_ttl_s: float,
    ) -> None:
        """Initializes the watch.

        Args:
            quarantine: Evidence of all gateways.
            publisher: Publishes the evidence of this gateway.
            suspect_ttl_s: Time after which refused requests may be sent again,
                in seconds.
        """
        self._quarantine = quarantine
        self._publisher = publisher
        self._suspect_ttl_s = suspect_ttl_s
        self._trials = quarantine_trials.QuarantineTrials(
            publisher.is_chosen, quarantine.wall_clock
        )

    def reject_quarantined(self, request: admitted.AdmittedRequest) -> None:
        """Rejects a request whose prompt holds quarantined parts.

        Raises:
            errors.QuarantinedError: If it does, and may not run as a trial.
        """
        found = self._quarantine.find(parts_of(request))
        if not found:
            return
        crash_times_unix_s = [
            self._quarantine.crash_times_unix_s(poison) for poison in found
        ]
        are_trials_left = all(map(self._trials.are_left, crash_times_unix_s))
        if are_trials_left and self._trials.take(
            found[0], crash_times_unix_s[0]
        ):
            logger.info(
                "suspects.parts_tried",
                request=request.request.request_id,
                parts=",".join(sorted(found[0].parts)),
            )
            return
        renewals = [self._quarantine.renew(poison) for poison in found]
        if any(renewals):
            self._publisher.publish()
        raise errors.QuarantinedError(
            "parts of the prompt were lost in several endpoint crashes",
            retry_after_s=(
                self._trials.retry_after_s
                if are_trials_left
                else self._suspect_ttl_s
            ),
        )

    def record_answered(self, request: admitted.AdmittedRequest) -> None:
        """Records that an endpoint has begun to answer and did not crash."""
        if self._quarantine.add_answered(parts_of(request)):
            self._publisher.publish()


def parts_of(request: admitted.AdmittedRequest) -> poison_parts.PartSet:
    """Returns the parts of a prompt that other prompts may share.

    The last part is the request's own.
    """
    shape = request.request.shape
    if shape is None:
        return frozenset()
    return frozenset(
        fingerprint.of_prompt_part(part.part_id) for part in shape.parts[:-1]
    )
