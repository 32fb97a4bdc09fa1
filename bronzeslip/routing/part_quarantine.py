"""Quarantine of prompts by the parts that they share with lost prompts."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.routing import crash_evidence
from bronzeslip.routing import part_record
from bronzeslip.routing import part_records
from bronzeslip.routing import poison_parts
from bronzeslip.routing import safe_parts
from bronzeslip.routing import suspect_settings

logger = logs.get_logger(__name__)

_MAX_CRASHES = 32
_MAX_PROMPTS_PER_CRASH = 8
# An answer proves its parts safe for crashes up to this much later. After that
# a part may have turned poisonous, for example with new weights.
_PROOF_LIFETIME_S = 30
_REFRESH_INTERVAL_S = 5


class PartQuarantine:
    """Merges the evidence of all gateways about parts that crash endpoints.

    A prompt that was lost before its answer began may have caused the crash.
    Its parts are innocent if any gateway has received an answer to a prompt
    that holds them. What the lost prompts of two crashes still have in common
    then is quarantined: prompts that hold all of it are refused.

    Attributes:
        records: Evidence of all gateways.
        wall_clock: Wall clock, in seconds.
    """

    def __init__(
        self,
        settings: suspect_settings.SuspectSettings,
        wall_clock: Callable[[], float],
    ) -> None:
        """Creates a quarantine without evidence.

        Args:
            settings: Time to live of evidence.
            wall_clock: Wall clock, in seconds.
        """
        self._settings = settings
        self.wall_clock = wall_clock
        self.records = part_records.PartRecords(
            settings.suspect_ttl_s, wall_clock
        )
        self._answered = safe_parts.SafeParts(wall_clock)
        self._poison: tuple[poison_parts.PoisonParts, ...] = ()
        self._last_crash_unix_s: dict[ids.Fingerprint, int] = {}
        self._safe_unix_s: dict[ids.Fingerprint, int] = {}
        self._refreshed_unix_s = 0

    def find(
        self, parts: Collection[ids.Fingerprint]
    ) -> tuple[poison_parts.PoisonParts, ...]:
        """Returns the quarantined sets of parts that a prompt holds."""
        self._refresh_if_stale()
        held = frozenset(parts)
        return tuple(poison for poison in self._poison if poison.parts <= held)

    def crash_times_unix_s(self, poison: poison_parts.PoisonParts) -> list[int]:
        """Returns the times of the crashes that parts explain, in order."""
        times_unix_s = {
            crash_id: evidence.crashed_unix_s
            for crash_id, evidence in self.records.evidence()
            if crash_id in poison.crash_ids
        }
        return sorted(times_unix_s.values())

    def add_crash(
        self,
        crash_id: ids.CrashId,
        prompts: Iterable[poison_parts.PartSet],
    ) -> None:
        """Records the prompts that an endpoint had not yet begun to answer.

        Args:
            crash_id: The crash.
            prompts: Parts of each prompt, without its last part.
        """
        now_unix_s = self._now_unix_s()
        known = self.records.own.crashes.get(crash_id)
        crashed_unix_s = known.crashed_unix_s if known else now_unix_s
        part_sets = set(known.part_sets if known else ())
        for prompt in prompts:
            suspect_parts = self._without_safe(prompt, crashed_unix_s)
            if suspect_parts and len(part_sets) < _MAX_PROMPTS_PER_CRASH:
                part_sets.add(tuple(sorted(suspect_parts)))
        if part_sets:
            evidence = crash_evidence.CrashEvidence(
                tuple(sorted(part_sets)), crashed_unix_s, now_unix_s
            )
            self.records.put_crash(crash_id, evidence)

    def add_answered(self, parts: Collection[ids.Fingerprint]) -> bool:
        """Records that an endpoint has begun to answer a prompt.

        Args:
            parts: Parts of the prompt.

        Returns:
            Whether other gateways need to know.
        """
        self._answered.add(parts)
        self._refresh_if_stale()
        news = [part for part in parts if self._is_news(part)]
        if news:
            self.records.put_safe(news)
        return bool(news)

    def renew(self, poison: poison_parts.PoisonParts) -> bool:
        """Keeps the evidence against parts while prompts with them come.

        Returns:
            Whether this changed the record of this gateway.
        """
        newest: dict[ids.CrashId, crash_evidence.CrashEvidence] = {}
        for crash_id, evidence in self.records.evidence():
            known = newest.get(crash_id)
            if known is None or evidence.noted_unix_s > known.noted_unix_s:
                newest[crash_id] = evidence
        now_unix_s = self._now_unix_s()
        half_ttl_s = self._settings.suspect_ttl_s / 2
        has_renewed = False
        for crash_id in poison.crash_ids & newest.keys():
            evidence = newest[crash_id]
            if now_unix_s - evidence.noted_unix_s > half_ttl_s:
                renewed = msgspec.structs.replace(
                    evidence, noted_unix_s=now_unix_s
                )
                self.records.put_crash(crash_id, renewed)
                has_renewed = True
        return has_renewed

    def own_record(self) -> part_record.PartRecord:
        """Returns the record of this gateway, to be shared with the others."""
        self.records.prune_own()
        return self.records.own

    def _refresh_if_stale(self) -> None:
        """Finds the quarantined parts anew after changes and now and then."""
        now_unix_s = self._now_unix_s()
        is_due = now_unix_s >= self._refreshed_unix_s + _REFRESH_INTERVAL_S
        has_evidence = bool(self._last_crash_unix_s)
        if not self.records.has_changed and not (is_due and has_evidence):
            return
        self.records.has_changed = False
        self._refreshed_unix_s = now_unix_s
        self._merge_times()
        previous = self._poison
        self._poison = poison_parts.find(self._suspect_prompts())
        _log_changes(previous, self._poison)

    def _merge_times(self) -> None:
        """Merges when parts were last lost in a crash and last answered."""
        self._last_crash_unix_s = {}
        for _, evidence in self.records.evidence():
            for part in frozenset().union(*evidence.part_sets):
                _keep_latest(
                    self._last_crash_unix_s, part, evidence.crashed_unix_s
                )
        self._safe_unix_s = {}
        for part, proven_unix_s in self.records.safe_parts():
            _keep_latest(self._safe_unix_s, part, proven_unix_s)

    def _suspect_prompts(
        self,
    ) -> dict[ids.CrashId, set[poison_parts.PartSet]]:
        """Returns the parts of lost prompts that are not known to be safe.

        If there are too many crashes, the newest are used, and those that
        explain what is quarantined now.
        """
        kept = {
            crash_id for poison in self._poison for crash_id in poison.crash_ids
        }
        newest_first = sorted(
            self.records.evidence(),
            key=lambda item: (item[0] in kept, item[1].crashed_unix_s),
            reverse=True,
        )
        crashes: dict[ids.CrashId, set[poison_parts.PartSet]] = {}
        for crash_id, evidence in newest_first:
            if crash_id not in crashes and len(crashes) >= _MAX_CRASHES:
                continue
            prompts = crashes.setdefault(crash_id, set())
            for parts in evidence.part_sets:
                if len(prompts) < _MAX_PROMPTS_PER_CRASH:
                    prompts.add(
                        self._without_safe(parts, evidence.crashed_unix_s)
                    )
        return crashes

    def _without_safe(
        self, parts: Iterable[ids.Fingerprint], crashed_unix_s: int
    ) -> poison_parts.PartSet:
        return frozenset(
            part
            for part in parts
            if not _covers(self._safe_unix_s.get(part), crashed_unix_s)
            and not _covers(self._answered.proven_unix_s(part), crashed_unix_s)
        )

    def _is_news(self, part: ids.Fingerprint) -> bool:
        """Returns whether a crash counts against an answered part elsewhere."""
        crashed_unix_s = self._last_crash_unix_s.get(part)
        if crashed_unix_s is None:
            return False
        published_unix_s = self.records.own.safe_parts.get(part)
        return not _covers(published_unix_s, crashed_unix_s)

    def _now_unix_s(self) -> int:
        return int(self.wall_clock())


def _covers(proven_unix_s: int | None, crashed_unix_s: int) -> bool:
    """Returns whether a proof shows that a part did not cause a crash."""
    if proven_unix_s is None:
        return False
    return proven_unix_s + _PROOF_LIFETIME_S >= crashed_unix_s


def _keep_latest(
    times_unix_s: dict[ids.Fingerprint, int],
    part: ids.Fingerprint,
    time_unix_s: int,
) -> None:
    times_unix_s[part] = max(times_unix_s.get(part, time_unix_s), time_unix_s)


def _log_changes(
    previous: tuple[poison_parts.PoisonParts, ...],
    current: tuple[poison_parts.PoisonParts, ...],
) -> None:
    known = {poison.parts for poison in previous}
    for poison in current:
        if poison.parts not in known:
            logger.warning(
                "suspects.parts_quarantined",
                parts=",".join(sorted(poison.parts)),
                crashes=len(poison.crash_ids),
            )
    for parts in known - {poison.parts for poison in current}:
        logger.info("suspects.parts_released", parts=",".join(sorted(parts)))
