"""What organisations ask of one router, and what of it begins, second by second."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import OrganisationName

PERIOD_SECONDS = 1.0
"""Shortest time that counts are collected for."""

MAX_DESCRIBED_ORGANISATIONS = 4
"""Organisations that a description names, those that asked for most first."""


@dataclass(slots=True)
class WorkCounts:
    """Streams of one organisation within a period.

    Attributes:
        asked: Requests that were received; one that came back counts again.
        asked_tokens: Their prompt tokens.
        begun: Requests that were sent to a replica for the first time.
        begun_tokens: Their prompt tokens.
        unserved: Requests that were refused, or whose caller left before any event.
    """

    asked: int = 0
    asked_tokens: int = 0
    begun: int = 0
    begun_tokens: int = 0
    unserved: int = 0


@dataclass(slots=True)
class AskedWork:
    """Counts streams by organisation, for a description of each period."""

    _began_at: float = float("-inf")
    _counts: dict[OrganisationName, WorkCounts] = field(default_factory=dict)

    def _find(self, name: OrganisationName) -> WorkCounts:
        counts = self._counts.get(name)
        if counts is None:
            counts = self._counts[name] = WorkCounts()
        return counts

    def note_asked(self, name: OrganisationName, tokens: int) -> None:
        """Counts a request that was received."""
        counts = self._find(name)
        counts.asked += 1
        counts.asked_tokens += tokens

    def note_begun(self, name: OrganisationName, tokens: int) -> None:
        """Counts a request that is sent for the first time."""
        counts = self._find(name)
        counts.begun += 1
        counts.begun_tokens += tokens

    def note_unserved(self, name: OrganisationName) -> None:
        """Counts a request that got no event."""
        self._find(name).unserved += 1

    def take_period(
        self, now: float
    ) -> tuple[float, dict[OrganisationName, WorkCounts]] | None:
        """Begins a new period if the present one is over.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Length of the last period in seconds and the counts of those that asked for
            most in it; None if it goes on, or if all requests were served.
        """
        elapsed = now - self._began_at
        if elapsed < PERIOD_SECONDS:
            return None
        counts, self._counts, self._began_at = self._counts, {}, now
        if not any(organisation.unserved for organisation in counts.values()):
            return None
        ordered = sorted(counts, key=lambda name: (-counts[name].asked_tokens, name))
        largest = ordered[:MAX_DESCRIBED_ORGANISATIONS]
        return elapsed, {name: counts[name] for name in largest}
