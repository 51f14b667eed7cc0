"""Prompt parts under which replica processes ended, and what is known of them.

Routers merge the cases of each other and of the platform's store, so all of them come
to the same state whatever the order in which they hear of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..types import OrganisationName, RouterIdentity, ServiceName
from .statements import ReplicaProcess

MAX_CRASHES_PER_CASE = 8
"""Ends of processes that a case keeps; more of them decide nothing."""

MAX_NAME_CHARACTERS = 200
"""Longest name of a process or request that is kept."""


@dataclass(frozen=True, slots=True, order=True)
class PartKey:
    """A prompt part of one service; equal identifiers stand for equal content."""

    service: ServiceName
    part_id: str


@dataclass(frozen=True, slots=True, order=True)
class Crash:
    """End of a replica process while it began to answer a request.

    Attributes:
        process: Name of the process.
        call: Name of the request, given by its router: callers may reuse theirs.
        organisation: Organisation of the request.
    """

    process: str
    call: str
    organisation: OrganisationName


def name_process(process: ReplicaProcess) -> str:
    """Returns the name of a process in cases."""
    start = process.incarnation or process.address
    return f"{process.replica_id}/{start}"[-MAX_NAME_CHARACTERS:]


def name_call(router: RouterIdentity, call_id: str) -> str:
    """Returns the name of a request of a router in cases."""
    name = f"{router.router_id}/{router.incarnation}/{call_id}"
    return name[-MAX_NAME_CHARACTERS:]


@dataclass(frozen=True, slots=True)
class PartCase:
    """What routers know of one prompt part.

    Attributes:
        revision: Increases when the part is cleared; a higher one replaces all else.
        crashes: Ends of processes that may be due to the part.
        is_proven: Whether a router had an answer on the part shortly before.
        is_quarantined: Whether requests with the part are refused.
        probes: Requests that were admitted as a probe since the quarantine began.
        probe_at: Monotonic time in seconds from which the next one may be.
        since_ms: Unix time in milliseconds at which the quarantine began; 0 without
            one. It is shown to operators and decides nothing.
    """

    key: PartKey
    revision: int = 0
    crashes: frozenset[Crash] = frozenset()
    is_proven: bool = False
    is_quarantined: bool = False
    probes: int = 0
    probe_at: float = 0.0
    since_ms: int = 0

    @property
    def is_cleared(self) -> bool:
        """Whether nothing is left of the suspicion."""
        return not self.crashes and not self.is_quarantined

    @property
    def state(self) -> tuple[object, ...]:
        """What has to be equal at all routers; times differ by the way of a message."""
        return (
            self.revision,
            self.crashes,
            self.is_proven,
            self.is_quarantined,
            self.probes,
        )

    def applies_to(self, organisation: OrganisationName) -> bool:
        """Returns whether requests of an organisation are refused.

        An organisation whose requests ended replicas cannot have the requests of
        others refused: until those of a second one did, only its own are.
        """
        organisations = {crash.organisation for crash in self.crashes}
        return self.is_quarantined and (
            len(organisations) > 1 or organisation in organisations
        )

    def merge(self, other: PartCase) -> PartCase:
        """Returns the case with what another router knows of it."""
        if self.revision != other.revision:
            return max(self, other, key=lambda case: case.revision)
        tested = other if other.probes > self.probes else self
        starts = [case.since_ms for case in (self, other) if case.since_ms]
        return replace(
            self,
            crashes=select_crashes(self.crashes | other.crashes),
            is_proven=self.is_proven or other.is_proven,
            is_quarantined=self.is_quarantined or other.is_quarantined,
            probes=tested.probes,
            probe_at=max(self.probe_at, other.probe_at)
            if self.probes == other.probes
            else tested.probe_at,
            since_ms=min(starts, default=0),
        )

    def dispute(self) -> PartCase:
        """Returns the case without the quarantine; its evidence still counts."""
        return PartCase(self.key, self.revision + 1, self.crashes, is_proven=True)

    def clear(self) -> PartCase:
        """Returns the case without the suspicion."""
        return PartCase(self.key, self.revision + 1)


def select_crashes(crashes: Iterable[Crash]) -> frozenset[Crash]:
    """Returns the crashes that a case keeps, the same ones at all routers.

    One of each organisation comes first, so that the organisations stay known.
    """
    ordered = sorted(set(crashes))
    if len(ordered) <= MAX_CRASHES_PER_CASE:
        return frozenset(ordered)
    first_by_organisation = {crash.organisation: crash for crash in reversed(ordered)}
    firsts = sorted(first_by_organisation.values())
    rest = [crash for crash in ordered if crash not in firsts]
    return frozenset([*firsts, *rest][:MAX_CRASHES_PER_CASE])


def count_independent(
    crashes: Iterable[Crash], explained: frozenset[str] | set[str] = frozenset()
) -> int:
    """Returns how many different requests ended how many different processes.

    Args:
        crashes: Crashes of one part.
        explained: Names of the processes whose end has another reason.

    Returns:
        The smaller one of the two numbers: a request that is sent again and again, and
        a process that is seen by many routers, count once.
    """
    unexplained = [crash for crash in crashes if crash.process not in explained]
    return min(
        len({crash.process for crash in unexplained}),
        len({crash.call for crash in unexplained}),
    )
