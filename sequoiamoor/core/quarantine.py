"""Decides which prompt parts crash replicas, and refuses the requests with them.

A replica that ends takes all its requests along, so a single end proves little. A part
is put into quarantine once several processes ended under different requests with it
while no request with it was answered. An end that is explained by a part in quarantine
no longer counts against the other parts of the same requests.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from ..types import OrganisationName, ServiceName
from .part_cases import (
    Crash,
    PartCase,
    PartKey,
    count_independent,
    select_crashes,
)
from .part_proofs import PartProofs

CRASHES_TO_QUARANTINE = 3
"""Processes that different requests with a part must have ended."""

CRASHES_OF_PROVEN_PART = 6
"""The same for a part on which replicas answered shortly before. Most ends under it are
due to another part of the request; only new weights make it a cause."""

MIN_OTHER_ANSWERS = 3
"""Whole answers to requests without the part that show that the service works."""

CRASHES_WITHOUT_ANSWERS = 5
"""Processes that must have ended if nothing else is answered meanwhile."""

MIN_SHARE_WITHOUT_ANSWERS = 0.75
"""Fraction of all ends that must be under the part in that case; a release or a rack
that fails ends processes under any part."""

HOLD_BACK_SECONDS = 0.4
"""Time for which an end under a proven part is not passed on: an answer on the part is
likely to come meanwhile."""

SETTLE_SECONDS = 0.2
"""Time from the decisive end to the quarantine, in which other routers may say that
they have answers on the part."""

WATCH_SECONDS = 120.0
"""Time after its last change for which a case without quarantine is kept."""

IDLE_SECONDS = 3_600.0
"""Time after which a quarantine ends if nobody sends the part."""

FIRST_PROBE_SECONDS = 60.0
"""Time from the quarantine to the first request that is admitted as a probe. It doubles
with each probe that ends a replica."""

MAX_PROBE_SECONDS = 3_600.0
"""Upper bound of that time."""

MIN_RETRY_AFTER_SECONDS = 1.0
"""Lower bound of Retry-After while a part is in quarantine."""

MAX_CASES = 512
"""Cases kept by a router."""

MAX_WATCHED_PER_ORGANISATION = 32
"""Cases without quarantine kept for one organisation."""


def find_probe_delay(probes: int) -> float:
    """Returns the seconds from a probe of a part to the next one.

    Args:
        probes: Number of probes so far.
    """
    return min(FIRST_PROBE_SECONDS * 2.0 ** min(probes, 16), MAX_PROBE_SECONDS)


def find_retry_after(case: PartCase, now: float) -> float:
    """Returns the Retry-After in seconds of requests with a part in quarantine."""
    return max(case.probe_at - now, MIN_RETRY_AFTER_SECONDS)


@dataclass(slots=True)
class _Observation:
    """What this router alone knows of a case.

    Attributes:
        answers: Whole answers of the service when the case was opened here.
        changed_at: Monotonic time in seconds of the last change.
        asked_at: Monotonic time in seconds of the last request with the part.
        requests: Requests with the part since the case was opened here.
        decided_at: Monotonic time in seconds at which the quarantine may begin; None
            before there are enough ends.
    """

    answers: int
    changed_at: float
    asked_at: float
    requests: int = 0
    decided_at: float | None = None


@dataclass(frozen=True, slots=True)
class _HeldCrash:
    """An end under a proven part that is not passed on yet."""

    key: PartKey
    crash: Crash
    held_until: float


class Quarantine:
    """Cases of prompt parts at one router.

    Each method that changes cases returns those that have to be passed on.

    Attributes:
        cases: Cases by part, also cleared ones, whose revision is still needed.
    """

    def __init__(self) -> None:
        self.cases: dict[PartKey, PartCase] = {}
        self._proofs = PartProofs()
        self._answers: Counter[ServiceName] = Counter()
        self._observations: dict[PartKey, _Observation] = {}
        self._held: list[_HeldCrash] = []

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to decide as time passes."""
        return not self.cases and not self._held

    @property
    def is_deciding(self) -> bool:
        """Whether a quarantine may begin as time passes."""
        return bool(self._held) or any(
            case.crashes and not case.is_quarantined for case in self.cases.values()
        )

    # Requests.

    def find(
        self, organisation: OrganisationName, keys: Iterable[PartKey], now: float
    ) -> PartCase | None:
        """Returns the quarantine because of which a request is refused, if any."""
        found = None
        for key in keys:
            case = self.cases.get(key)
            if case is None:
                continue
            observation = self._observations[key]
            observation.asked_at = now
            observation.requests += 1
            if found is None and case.applies_to(organisation):
                found = case
        return found

    def may_repeat(self, keys: Iterable[PartKey], now: float) -> bool:
        """Returns whether a request that a process may have ended of may be repeated.

        Only if replicas answered on each of its parts shortly before, and too few have
        ended since for a quarantine: the replica that the request would reach next
        would end too if it was the cause.
        """
        for key in keys:
            crashes = {held.crash for held in self._held if held.key == key}
            if key in self.cases:
                crashes |= self.cases[key].crashes
            is_suspect = count_independent(crashes) >= CRASHES_OF_PROVEN_PART - 1
            if is_suspect or not self._proofs.is_proven(key, now):
                return False
        return True

    def record_answer(
        self,
        service: ServiceName,
        organisation: OrganisationName,
        keys: Sequence[PartKey],
        now: float,
    ) -> list[PartCase]:
        """Records a whole answer, which clears the parts of its request."""
        self._answers[service] += 1
        self._proofs.record(organisation, keys, now)
        if self._held:
            self._held = [held for held in self._held if held.key not in keys]
        if not self.cases:
            return []
        cleared = []
        for key in keys:
            case = self.cases.get(key)
            if case is not None and not case.is_cleared:
                cleared.append(self._put(case.clear(), now))
        return cleared

    def record_crash(
        self, crash: Crash, keys: Iterable[PartKey], now: float
    ) -> list[PartCase]:
        """Records that a process ended while it began to answer a request.

        Args:
            crash: The end.
            keys: Parts that the request may share with others.
            now: Monotonic time in seconds.
        """
        keys = list(keys)
        for key in keys:
            known = self.cases.get(key)
            if known is not None and known.is_quarantined:
                # It explains the end, so that the other parts are not suspected.
                case = self._add_crash(key, crash, now)
                return [] if case is None else [case]
        changed = []
        for key in keys:
            if crash.process in self._find_explained(key.service):
                continue
            if self._proofs.is_proven(key, now):
                held = _HeldCrash(key, crash, now + HOLD_BACK_SECONDS)
                self._held.append(held)
            elif (case := self._add_crash(key, crash, now)) is not None:
                changed.append(case)
        return changed

    def _add_crash(self, key: PartKey, crash: Crash, now: float) -> PartCase | None:
        known = self.cases.get(key)
        if known is None and self._count_watched(crash.organisation) >= (
            MAX_WATCHED_PER_ORGANISATION
        ):
            return None
        case = known or PartCase(key)
        changed = replace(
            case,
            crashes=select_crashes(case.crashes | {crash}),
            is_proven=case.is_proven or self._proofs.is_proven(key, now),
        )
        return None if changed == known else self._put(changed, now)

    def _count_watched(self, organisation: OrganisationName) -> int:
        return sum(
            not case.is_quarantined
            and any(crash.organisation == organisation for crash in case.crashes)
            for case in self.cases.values()
        )

    # Other routers and the store.

    def merge(self, received: PartCase, now: float) -> PartCase | None:
        """Applies what another router or the store knows of a part.

        Returns:
            The case as it is now; None if nothing changed.
        """
        known = self.cases.get(received.key)
        if known is None and received.is_cleared:
            return None
        merged = received if known is None else known.merge(received)
        if not merged.is_cleared and self._proofs.is_proven(received.key, now):
            is_enough = count_independent(merged.crashes) >= CRASHES_OF_PROVEN_PART
            if merged.is_quarantined and not is_enough:
                merged = merged.dispute()
            merged = replace(merged, is_proven=True)
        if known is not None and merged.state == known.state:
            return None
        return self._put(merged, now)

    def forget(self, key: PartKey) -> None:
        """Removes a case that the store no longer has."""
        self.cases.pop(key, None)
        self._observations.pop(key, None)

    def claim_probe(self, key: PartKey, now: float) -> PartCase | None:
        """Returns the case with one more probe, or None if no probe is due.

        The router whose claim the store accepts may admit one request with the part.
        """
        case = self.cases.get(key)
        if case is None or not case.is_quarantined or now < case.probe_at:
            return None
        probes = case.probes + 1
        return replace(case, probes=probes, probe_at=now + find_probe_delay(probes))

    # Time.

    def step(self, now: float, now_ms: int) -> list[PartCase]:
        """Applies held ends, begins quarantines and forgets old cases.

        Args:
            now: Monotonic time in seconds.
            now_ms: Unix time in milliseconds, for operators.
        """
        changed = {}
        due = [held for held in self._held if held.held_until <= now]
        if due:
            self._held = [held for held in self._held if held.held_until > now]
        for held in due:
            if held.crash.process in self._find_explained(held.key.service):
                continue
            case = self._add_crash(held.key, held.crash, now)
            if case is not None:
                changed[case.key] = case
        for service in {key.service for key in self.cases}:
            for case in self._decide(service, now, now_ms):
                changed[case.key] = case
        self._forget_old(now)
        return list(changed.values())

    def _decide(
        self, service: ServiceName, now: float, now_ms: int
    ) -> Iterable[PartCase]:
        explained = set(self._find_explained(service))
        watched = [
            case
            for case in self.cases.values()
            if case.key.service == service and case.crashes and not case.is_quarantined
        ]
        processes = {crash.process for case in watched for crash in case.crashes}
        # The part that explains most ends comes first; it may explain those of others.
        # Of two that explain the same ends, the rarer one is the more likely cause.
        watched.sort(
            key=lambda case: (
                case.is_proven,
                -count_independent(case.crashes, explained),
                self._observations[case.key].requests,
                case.key,
            )
        )
        for case in watched:
            observation = self._observations[case.key]
            count = count_independent(case.crashes, explained)
            needed = CRASHES_OF_PROVEN_PART if case.is_proven else CRASHES_TO_QUARANTINE
            if count < needed:
                continue
            if observation.decided_at is None:
                observation.decided_at = now + SETTLE_SECONDS
            if now < observation.decided_at:
                # A case that comes later in the order must not be decided before it.
                return
            answers = self._answers[service] - observation.answers
            own_processes = {crash.process for crash in case.crashes} - explained
            share = len(own_processes) / max(len(processes - explained), 1)
            if answers < MIN_OTHER_ANSWERS and (
                count < CRASHES_WITHOUT_ANSWERS or share < MIN_SHARE_WITHOUT_ANSWERS
            ):
                continue
            quarantined = replace(
                case,
                is_quarantined=True,
                probe_at=now + find_probe_delay(0),
                since_ms=now_ms,
            )
            explained |= {crash.process for crash in case.crashes}
            yield self._put(quarantined, now)

    def _find_explained(self, service: ServiceName) -> frozenset[str]:
        """Returns the processes whose end is explained by a quarantine."""
        return frozenset(
            crash.process
            for key, case in self.cases.items()
            if key.service == service and case.is_quarantined
            for crash in case.crashes
        )

    def _put(self, case: PartCase, now: float) -> PartCase:
        key = case.key
        observation = self._observations.get(key)
        if observation is None or case.is_cleared:
            answers = self._answers[key.service]
            observation = _Observation(answers, now, now)
        observation.changed_at = now
        self._observations[key] = observation
        self.cases[key] = case
        while len(self.cases) > MAX_CASES:
            self.forget(min(self.cases, key=self._rank_for_removal))
        return case

    def _rank_for_removal(self, key: PartKey) -> tuple[bool, float]:
        observation = self._observations[key]
        return self.cases[key].is_quarantined, observation.changed_at

    def _forget_old(self, now: float) -> None:
        for key, case in list(self.cases.items()):
            observation = self._observations[key]
            if case.is_quarantined:
                is_old = (
                    now >= case.probe_at and now - observation.asked_at > IDLE_SECONDS
                )
            else:
                is_old = now - observation.changed_at > WATCH_SECONDS
            if is_old:
                self.forget(key)
