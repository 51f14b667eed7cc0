"""Readers of the store: a few routers per zone that confirm its state to the others."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..types import RouterId, RouterIdentity
from .freshness import FEED_LAG_SECONDS
from .messages import Confirmation
from .placement import rank
from .store_position import StorePosition

READERS_PER_ZONE = 1
"""Routers of a zone that follow the store closely. The next ones in the order stand in
for it within the time for which its confirmations count (``core/store_turns.py``)."""

UPSTREAM_STEP_MS = 400
CONFIGURATION_STEP_MS = 800
"""Progress of the confirmed times of a table for which a confirmation is sent before
its interval ends. With the interval alone, an answer that comes shortly after a
confirmation would wait for the next one."""

CONFIRMATION_INTERVAL_SECONDS = 0.6
"""Shortest time between two confirmations that report no change."""

_RANKING_NAME = "store"


def is_reader(
    own: RouterIdentity, members: Iterable[RouterIdentity], *, flat_limit: int
) -> bool:
    """Returns whether a router follows the store closely.

    In a fleet of at most ``flat_limit`` routers, every router does.

    Args:
        own: The router.
        members: Live peers.
        flat_limit: Largest number of routers that all follow the store.
    """
    peers = list(members)
    if len(peers) < flat_limit:
        return True
    return own.router_id in rank_zone(own, peers)[:READERS_PER_ZONE]


def rank_zone(own: RouterIdentity, members: Iterable[RouterIdentity]) -> list[RouterId]:
    """Returns the routers of the zone in the order in which they are its reader."""
    zone_ids = [peer.router_id for peer in members if peer.zone == own.zone]
    return rank(_RANKING_NAME, [own.router_id, *zone_ids])


@dataclass(slots=True)
class FeedState:
    """How recently the copy of one table was known to be the newest.

    Attributes:
        max_age: Seconds after which the router has to ask the store itself.
        position: Position of the store up to which changes were applied.
        wanted: Newest position with a change that a reader reported.
        confirmed_at: Local time in seconds at which the copy was the newest one.
    """

    max_age: float = 0.0
    position: StorePosition = StorePosition()
    wanted: StorePosition = StorePosition()
    confirmed_at: float = float("-inf")

    def confirm(self, position: StorePosition, confirmed_at: float) -> None:
        """Applies a confirmation, which counts only if no change is missing.

        One of an older era confirms nothing, since versions are assigned again.
        """
        self.wanted = max(self.wanted, position)
        if position.era == self.position.era and self.wanted <= self.position:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def find_age(self, now: float) -> float:
        """Returns for how many seconds the copy may have been out of date."""
        return now - self.confirmed_at

    def is_call_due(self, now: float) -> bool:
        """Returns whether the store has to be asked now."""
        return self.is_behind or self.find_age(now) > self.max_age

    @property
    def is_behind(self) -> bool:
        """Whether a reader reported a change that is not applied yet."""
        return self.wanted > self.position


@dataclass(slots=True)
class ReaderReport:
    """What a reader knows of the store, for the other routers of its zone.

    All times are those of the steady clock of the store, in milliseconds, which may
    start again with an era; what is known of an older era is discarded.

    Attributes:
        era: Era of the store that the report is about.
    """

    era: int = 0
    _configuration_ms: int = 0
    _upstreams_ms: int = 0
    _upstreams_version: int = 0
    _sent_at: float = field(default=float("-inf"))
    _has_change: bool = False
    _sent: Confirmation | None = None

    def record_configuration(self, answered_ms: float, *, era: int = 0) -> None:
        """Records an answer of the feed of the configuration."""
        if self._enter_era(era):
            self._configuration_ms = _subtract_lag(answered_ms)

    def record_upstreams(
        self, answered_ms: float, position: StorePosition, *, is_changed: bool
    ) -> None:
        """Records an answer of the feed of upstreams.

        Args:
            answered_ms: Time of the answer.
            position: Position of the store with the answer.
            is_changed: Whether replicas or their states changed, other than by a
                heartbeat.
        """
        if not self._enter_era(position.era):
            return
        # Routers that read an earlier version of this era lack what was written again
        # since, also if it is no change to this router.
        is_first_of_era = not self._upstreams_ms
        self._upstreams_ms = _subtract_lag(answered_ms)
        if is_changed or is_first_of_era:
            self._upstreams_version = position.version
            self._has_change = True

    def _enter_era(self, era: int) -> bool:
        """Discards what is known of an older era; returns whether an answer counts."""
        if era > self.era:
            self.era = era
            self._configuration_ms = self._upstreams_ms = self._upstreams_version = 0
            # The other routers learn of the era at once, and read the store themselves.
            self._has_change = True
        return era == self.era

    def build(
        self,
        configuration_version: int,
        now: float,
        *,
        is_configuration_current: bool = True,
    ) -> Confirmation | None:
        """Returns the confirmation to send now, if one is due.

        Args:
            configuration_version: Version of the configuration in force.
            now: Monotonic time in seconds.
            is_configuration_current: Whether the store's copy of the configuration is
                not older than the one in force; otherwise the confirmation has no time
                for it.
        """
        if not self.era and not (self._configuration_ms and self._upstreams_ms):
            return None
        confirmation = Confirmation(
            configuration_version,
            self._configuration_ms if is_configuration_current else 0,
            self._upstreams_version,
            self._upstreams_ms,
            self.era,
        )
        is_due = (
            now - self._sent_at >= CONFIRMATION_INTERVAL_SECONDS
            or self._has_change
            or self._sent is None
            or _has_progressed(self._sent, confirmation)
        )
        if not is_due:
            return None
        self._sent_at, self._has_change, self._sent = now, False, confirmation
        return confirmation


def _has_progressed(sent: Confirmation, confirmation: Confirmation) -> bool:
    """Returns whether a confirmation says enough more than the last one."""
    return (
        confirmation.configuration_version != sent.configuration_version
        or confirmation.configuration_ms - sent.configuration_ms
        >= CONFIGURATION_STEP_MS
        or confirmation.upstreams_ms - sent.upstreams_ms >= UPSTREAM_STEP_MS
    )


def _subtract_lag(answered_ms: float) -> int:
    return max(round(answered_ms - FEED_LAG_SECONDS * 1000), 0)
