"""What choosing the next starts costs, and why waiting requests do not start."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field, replace

from ..types import OrganisationName
from .fairness import ServiceView
from .start_limits import OrganisationLoad


@dataclass(slots=True)
class ChoiceCounts:
    """Work done to choose starts, and its outcomes.

    Attributes:
        passes: Searches for a start while requests waited.
        starts: Requests that were started.
        replicas: Replicas that were looked at.
        requests: Waiting requests that were looked at.
        full: Passes that found no replica with a free slot.
        held_back: Organisations that gave way to others in a pass.
        unplaced: Requests for which no replica was found in a pass.
        awaited: Requests that could start at a replica and wait for one that keeps
            their prompt.
        kept_tokens: Prompt tokens of starts that their replica was expected to keep.
        read_tokens: Prompt tokens of starts that it was expected to read.
    """

    passes: int = 0
    starts: int = 0
    replicas: int = 0
    requests: int = 0
    full: int = 0
    held_back: int = 0
    unplaced: int = 0
    awaited: int = 0
    kept_tokens: int = 0
    read_tokens: int = 0

    @property
    def left_waiting(self) -> int:
        """Number of times that a pass left a request or an organisation waiting."""
        return self.full + self.held_back + self.unplaced

    def subtract(self, earlier: ChoiceCounts) -> ChoiceCounts:
        """Returns the counts since an earlier copy."""
        before = asdict(earlier)
        return ChoiceCounts(
            **{name: count - before[name] for name, count in asdict(self).items()}
        )


@dataclass(frozen=True, slots=True)
class HeldBack:
    """State in which an organisation last gave way to others.

    Attributes:
        organisation: The organisation.
        lead: Its key above the lowest one, in service units.
        lowest: Organisation with the lowest key of those with waiting requests.
        lowest_waiting: Its waiting requests, as known to this router.
        waiting: Waiting requests of all organisations, as known to this router.
        placeable: Requests that the replicas can take.
        load: What the organisation asks of the service.
        own_fraction: Fraction of it that this router takes to be its own.
    """

    organisation: OrganisationName
    lead: float
    lowest: OrganisationName
    lowest_waiting: int
    waiting: int
    placeable: int
    load: OrganisationLoad
    own_fraction: float


@dataclass(frozen=True, slots=True)
class _HeldBackState:
    """What a description of an organisation that gave way is made from."""

    organisation: OrganisationName
    view: ServiceView
    placeable: int
    load: OrganisationLoad


@dataclass(slots=True)
class Choices:
    """Counts of one router's choices, and the last one against an organisation."""

    counts: ChoiceCounts = field(default_factory=ChoiceCounts)
    _last_held_back: _HeldBackState | None = None

    def copy_counts(self) -> ChoiceCounts:
        """Returns a copy of the counts."""
        return replace(self.counts)

    def record_held_back(
        self,
        name: OrganisationName,
        view: ServiceView,
        placeable: int,
        load: OrganisationLoad,
    ) -> None:
        """Counts an organisation that gives way, without describing it yet."""
        self.counts.held_back += 1
        self._last_held_back = _HeldBackState(name, view, placeable, load)

    def describe_held_back(self) -> HeldBack | None:
        """Returns the state in which an organisation last gave way; None if none did.

        Its view may be older than the requests that wait, so that the organisation
        counts as waiting whatever the view says.
        """
        state = self._last_held_back
        if state is None:
            return None
        name = state.organisation
        waiting = {
            other: load
            for other, load in state.view.organisations.items()
            if load.waiting or other == name
        }
        if name not in waiting:
            return None
        lowest = min(waiting, key=lambda candidate: waiting[candidate].key)
        return HeldBack(
            organisation=name,
            lead=waiting[name].key - waiting[lowest].key,
            lowest=lowest,
            lowest_waiting=max(waiting[lowest].waiting, 0),
            waiting=sum(max(load.waiting, 0) for load in waiting.values()),
            placeable=state.placeable,
            load=state.load,
            own_fraction=state.load.own_fraction,
        )
