"""Evacuated zones: rows of the store, messages of peers, and the effect on replicas."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable

from ..core.blackboard import Blackboard
from ..core.evacuations import EvacuatedZones, ZoneState
from ..core.messages import EvacuationRow, Evacuations
from ..core.readers import FeedState
from ..core.store_position import StorePosition
from ..metrics import Metrics
from ..platform.documents import decode_evacuated_zone
from ..platform.store import Rows
from ..types import RouterId, ZoneName
from .control import Control

_LOG = logging.getLogger(__name__)

VIEW_AGE_FRACTION = 0.9
"""Fraction of the bound for which requests are sent without a newer answer of the
store, while it can be reached. The rest is for the way to the replica."""


class ZoneEvacuations:
    """Keeps replicas of evacuated zones out of service, and tells peers of changes.

    Args:
        feed: How recently this router or readers of the store confirmed the table.

    Attributes:
        bound: Seconds within which an evacuated zone must get no more requests; None
            if rows about evacuations are not applied.
        note_return: Called with a zone whose evacuation ended, and the position in the
            store of the end.
    """

    def __init__(
        self,
        board: Blackboard,
        control: Control,
        metrics: Metrics,
        *,
        feed: FeedState,
        bound: float | None = None,
    ) -> None:
        self._board = board
        self._control = control
        self._metrics = metrics
        self._feed = feed
        self._evacuations = EvacuatedZones()
        self._answered_at = float("-inf")
        self._is_after_outage = False
        self.bound = bound
        self.note_return: Callable[[ZoneName, StorePosition], None] = (
            lambda zone, position: None
        )
        control.handle_evacuations = self.receive
        control.list_evacuations = self._list_rows

    @property
    def is_known(self) -> bool:
        """Whether the whole table was read, if it is needed."""
        return self.bound is None or self._evacuations.is_known

    def set_bound(self, bound: float | None) -> None:
        """Applies a changed bound; without one, no zone counts as evacuated."""
        self.bound = bound
        if bound is None:
            self._evacuations = EvacuatedZones()
            self._put_in_effect("settings")

    def is_outdated(self, now: float) -> bool:
        """Returns whether an answer of the store has to be awaited before a send.

        Args:
            now: Time in seconds of the clock of the feed.
        """
        if self.bound is None or self._is_after_outage:
            return False
        confirmed_at = max(self._answered_at, self._feed.confirmed_at)
        return now - confirmed_at > self.bound * VIEW_AGE_FRACTION

    def record_outage(self) -> None:
        """Records that a call to the store failed; what is known stays in force."""
        self._is_after_outage = True

    def record_answer(self, confirmed_at: float) -> None:
        """Records that an answer of the store was applied.

        Args:
            confirmed_at: Time in seconds at which it had all changes.
        """
        self._is_after_outage = False
        self._answered_at = max(self._answered_at, confirmed_at)

    def apply_rows(self, rows: Rows, *, is_full_table: bool) -> None:
        """Applies an answer of the store; only the keys of its rows matter."""
        if self.bound is None:
            return
        evacuated: dict[ZoneName, StorePosition] = {}
        changed = []
        for row in rows.rows:
            zone = decode_evacuated_zone(row.key)
            if zone is None:
                continue
            position = StorePosition(rows.era, row.version)
            if is_full_table and not row.is_removed:
                evacuated[zone] = position
            elif self._evacuations.apply_row(
                zone, position, is_evacuated=not row.is_removed
            ):
                changed.append(zone)
        if is_full_table:
            position = StorePosition(rows.era, rows.version)
            changed += self._evacuations.apply_table(
                evacuated, position, time.monotonic()
            )
        self._apply(changed, "store")

    def receive(self, message: Evacuations, source: RouterId) -> None:
        """Applies what a peer knows, and answers what is outdated."""
        if self.bound is None:
            return
        now = time.monotonic()
        changed, later = [], []
        for row in message.rows:
            state = ZoneState(row.position, row.is_evacuated)
            if self._evacuations.apply_peer(row.zone, state, now):
                changed.append(row.zone)
            elif (known := self._evacuations.find_later(row.zone, state)) is not None:
                later.append(_build_row(row.zone, known))
        self._apply(changed, source)
        if later:
            self._control.send(Evacuations(tuple(later)), source)

    def step(self, now: float) -> None:
        """Ends the evacuations that a restored store lacks."""
        self._apply(self._evacuations.step(now), "store")

    def _apply(self, changed: Iterable[ZoneName], source: str) -> None:
        """Puts changes into effect and tells all peers without delay."""
        changed = list(changed)
        if not changed:
            return
        self._put_in_effect(source)
        states = self._evacuations.states
        rows = tuple(_build_row(zone, states[zone]) for zone in changed)
        self._control.send(Evacuations(rows))

    def _put_in_effect(self, source: str) -> None:
        before, after = self._board.upstreams.evacuated_zones, self._evacuations.zones
        self._board.upstreams.set_evacuated_zones(after)
        self._metrics.evacuated_zones.set(len(after))
        for zone in sorted(after - before):
            _LOG.warning("zone evacuated", extra={"zone": zone, "peer": source})
        for zone in sorted(before - after):
            state = self._evacuations.states.get(zone)
            self.note_return(zone, state.position if state else StorePosition())
            _LOG.warning("zone evacuation ended", extra={"zone": zone, "peer": source})

    def _list_rows(self) -> tuple[EvacuationRow, ...]:
        """Returns what a router that has connected needs."""
        if self.bound is None:
            return ()
        return tuple(
            _build_row(zone, state) for zone, state in self._evacuations.states.items()
        )


def _build_row(zone: ZoneName, state: ZoneState) -> EvacuationRow:
    return EvacuationRow(zone, state.position, state.is_evacuated)
