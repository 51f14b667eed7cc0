"""Availability zones that the operators have evacuated, as far as this router knows."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..types import ZoneName
from .store_position import StorePosition

MISSING_GRACE_SECONDS = 5.0
"""Time for which an evacuation stays in force that the first full read of a new era
lacks. The store was restored from an older copy, and the operators write the row
again."""

MAX_ZONES = 1_000
"""Zones of which something is remembered. Of those that are not evacuated, the one
with the earliest change is forgotten first; further evacuated ones are not recorded."""


@dataclass(frozen=True, slots=True)
class ZoneState:
    """What is known of one zone.

    Attributes:
        position: Position in the store of the newest known change.
        is_evacuated: Whether the zone is evacuated since that change.
    """

    position: StorePosition
    is_evacuated: bool


class EvacuatedZones:
    """Evacuated zones, with the position in the store at which each was learned.

    Ended evacuations are kept too: an outdated message must not evacuate a zone again.

    Attributes:
        states: What is known, by zone.
        is_known: Whether the whole table of the store was read.
    """

    def __init__(self) -> None:
        self.states: dict[ZoneName, ZoneState] = {}
        self._read_position: StorePosition | None = None
        self._read_at = float("-inf")
        self._lapses_at: dict[ZoneName, float] = {}

    @property
    def is_known(self) -> bool:
        """Whether the whole table of the store was read."""
        return self._read_position is not None

    @property
    def zones(self) -> frozenset[ZoneName]:
        """The evacuated zones."""
        return frozenset(
            zone for zone, state in self.states.items() if state.is_evacuated
        )

    def apply_row(
        self, zone: ZoneName, position: StorePosition, *, is_evacuated: bool
    ) -> bool:
        """Applies a row of the store, or its removal; returns whether it was new."""
        return self._put(zone, ZoneState(position, is_evacuated))

    def apply_table(
        self,
        rows: Mapping[ZoneName, StorePosition],
        position: StorePosition,
        now: float,
    ) -> list[ZoneName]:
        """Applies a full read of the table.

        Args:
            rows: Evacuated zones with the positions of their rows.
            position: Position of the store when it was read.
            now: Monotonic time in seconds.

        Returns:
            The zones of which something new was learned.
        """
        changed = [
            zone
            for zone, row_position in rows.items()
            if self.apply_row(zone, row_position, is_evacuated=True)
        ]
        for zone in self.zones - rows.keys():
            if position.era > self.states[zone].position.era:
                self._lapses_at.setdefault(zone, now + MISSING_GRACE_SECONDS)
            elif self.apply_row(zone, position, is_evacuated=False):
                changed.append(zone)
        if self._read_position is None or position.era > self._read_position.era:
            self._read_at = now
        if self._read_position is None or position > self._read_position:
            self._read_position = position
        return changed

    def apply_peer(self, zone: ZoneName, state: ZoneState, now: float) -> bool:
        """Applies what a peer knows of a zone; returns whether it was new.

        A full read by this router that lacks the zone counts as a later change than an
        evacuation before it.
        """
        read = self._read_position
        is_read_later = (
            zone not in self.states and read is not None and state.position <= read
        )
        if not is_read_later:
            return self._put(zone, state)
        assert read is not None
        lapses_at = self._read_at + MISSING_GRACE_SECONDS
        if state.is_evacuated and state.position.era < read.era and now < lapses_at:
            is_new = self._put(zone, state)
            self._lapses_at[zone] = lapses_at
            return is_new
        return False

    def find_later(self, zone: ZoneName, state: ZoneState) -> ZoneState | None:
        """Returns what this router knows of a zone if it is later than a state.

        What it knows only from a full read is remembered as an end of the evacuation,
        so that the peer is told even if it is not connected now.
        """
        if zone not in self.states and self._read_position is not None:
            self._put(zone, ZoneState(self._read_position, False))
        known = self.states.get(zone)
        return known if known is not None and known.position > state.position else None

    def step(self, now: float) -> list[ZoneName]:
        """Ends the evacuations that a new era lacks, and returns their zones."""
        ended = [zone for zone, at in self._lapses_at.items() if now >= at]
        for zone in ended:
            del self._lapses_at[zone]
            assert self._read_position is not None
            self._put(zone, ZoneState(self._read_position, False))
        return ended

    def _put(self, zone: ZoneName, state: ZoneState) -> bool:
        known = self.states.get(zone)
        if known is not None and known.position >= state.position:
            return False
        if known is None and not self._make_room(self.states.items()):
            return False
        self.states[zone] = state
        self._lapses_at.pop(zone, None)
        return True

    def _make_room(self, states: Iterable[tuple[ZoneName, ZoneState]]) -> bool:
        if len(self.states) < MAX_ZONES:
            return True
        ended = [(one.position, zone) for zone, one in states if not one.is_evacuated]
        if ended:
            del self.states[min(ended)[1]]
        return bool(ended)
