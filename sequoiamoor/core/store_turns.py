"""Which router of a zone calls the store next, and how often.

In a large fleet the first router of a zone in rendezvous order, its reader, follows the
store for the others. The next ones stand in for it in the same order as soon as its
confirmations are late. While no router of the zone gets an answer, they take turns.
"""

from __future__ import annotations

from dataclasses import dataclass

from .freshness import FEED_LAG_SECONDS
from .rendezvous import hash_pair

CLOSE_PAUSE_FRACTION = 0.45
"""Pause of a reader between two calls for upstreams, as a fraction of the time for
which its zone relies on one answer. With jitter, a fifth of that time is left for the
call and the confirmation before the standby calls."""

CLOSE_WAIT_FRACTION = 0.7
"""The same for the time for which the store holds a reader's call for the
configuration, which follows the last one without a pause."""

MIN_CLOSE_SECONDS = 0.2
"""Shortest such pause or wait; bounds the calls where the time allowed is short."""

STANDBY_LEAD_FRACTIONS = {1: 0.25, 2: 0.1}
"""Part of that time by which the first and the second standby call before all others
have to, so that their confirmations arrive first."""

CONFIRMED_PAUSE_SECONDS = 120.0
"""Pause of a router whose zone's reader confirms a table. It also bounds how long a
fault in the confirmations could hide a change."""

CONFIRMED_WAIT_SECONDS = 0.05
"""Time for which the store holds a call after such a pause."""

PART_NEWS_SECONDS = 45.0
"""Time for which a status of the table of prompt parts counts; a reader sends one at
least every 20 s."""

PART_CHANGE_JITTER_SECONDS = 4.0
"""Longest random delay before a changed table of prompt parts is read. Routers also
tell each other of cases, and changes that follow each other are read at once."""

ROUTER_REFRESH_SECONDS = 50.0
"""Interval between two reads and writes of routers' addresses in a large fleet. With
jitter it is below the 70 s after which earlier versions ignore an address."""

ROUTER_LIFETIME_SECONDS = 180.0
"""Age from which the address of a router is ignored in a large fleet: three writes."""

ROUTER_RETRY_BASE_SECONDS = 10.0
ROUTER_RETRY_LIMIT_SECONDS = 60.0
"""Longest delay after the first failed read or write of addresses, which doubles, and
after any number of them. An address lapses after three intervals only."""

MIN_ROUTER_RETRY_SECONDS = 1.0

TURN_SECONDS = 0.7
"""Time between the calls of two routers of a zone while the store fails. After its
return the zone has an answer within this time and one call."""

RETRY_LIMIT_SECONDS = 0.9
"""Longest backoff of a router that nobody confirms the tables to: with one call and the
grace for lapsed entries, replicas that left are dropped within 3 s of a partition."""

SPREAD_SECONDS = 0.3
"""Time over which the routers of a zone read the changes of an outage after its end."""

READER_RETRY_LIMIT_SECONDS = 8.0
"""Longest backoff of a reader while a standby confirms the tables."""

TABLE_RETRY_SECONDS = 10.0
"""Time after which a table other than that of upstreams is tried although the latter
cannot be read; the store may fail for one table only. It doubles with each failure."""

MAX_TABLE_DOUBLINGS = 3
"""Largest number of such doublings, which is 80 to 160 s."""

CONFIRMED_RETRY_SECONDS = (2.0, 10.0)
"""Range, over the routers, of the time until a router repeats a failed call for
upstreams although they are confirmed to it. Longer would keep it in the state after an
outage."""

CONFIRMED_TABLE_RETRY_SECONDS = (5.0, 25.0)
"""The same for the other tables."""


def find_reliance(max_age: float) -> float:
    """Returns the seconds for which one answer of the store can be relied on.

    Args:
        max_age: Seconds after which a router has to call the store itself.
    """
    return max(max_age - FEED_LAG_SECONDS, 0.0)


def find_close_pause(max_age: float) -> float:
    """Returns the mean pause of a reader between two calls, in seconds."""
    return max(find_reliance(max_age) * CLOSE_PAUSE_FRACTION, MIN_CLOSE_SECONDS)


def find_close_wait(max_age: float, longest: float) -> float:
    """Returns the wait of a reader's held call, in seconds."""
    wait = find_reliance(max_age) * CLOSE_WAIT_FRACTION
    return max(min(wait, longest), MIN_CLOSE_SECONDS)


@dataclass(slots=True)
class StoreTurns:
    """Place of a router among those of its zone, and when it calls a failing store.

    All times are local ones, in seconds.

    Attributes:
        router_id: The router.
        place: Its position in the order of the zone; the reader has 0.
        zone_size: Routers of the zone.
        confirmed_since: Time from which on the zone's confirmations are recent.
        is_failing: Whether the last call of this router for upstreams failed.
    """

    router_id: str
    place: int = 0
    zone_size: int = 1
    confirmed_since: float = float("-inf")
    is_failing: bool = False
    _turn_at: float = float("-inf")
    _heard_failure_at: float = float("-inf")

    def find_lead(self, max_age: float) -> float:
        """Returns by how many seconds this router calls before all others have to."""
        return find_reliance(max_age) * STANDBY_LEAD_FRACTIONS.get(self.place, 0.0)

    def record_failure(self, now: float) -> None:
        """Records a failed call of this router for upstreams."""
        self.is_failing = True
        self._turn_at = now + self.zone_size * TURN_SECONDS

    def hear_failure(self, place: int, now: float) -> None:
        """Records that the router at a place of the zone called without success."""
        steps = (self.place - place) % max(self.zone_size, 1) or self.zone_size
        self._turn_at = now + steps * TURN_SECONDS
        self._heard_failure_at = now

    def is_turn(self, now: float) -> bool:
        """Returns whether this router is the next one to call.

        One that hears of no other router's calls does not wait for them.
        """
        silence = now - self._heard_failure_at
        return now >= self._turn_at or silence > (self.zone_size + 2) * TURN_SECONDS

    def must_wait(
        self,
        now: float,
        failed_at: float,
        failures: int,
        *,
        is_heard: bool,
        is_behind: bool,
        is_for_upstreams: bool,
        has_answer: bool,
    ) -> bool:
        """Returns whether a failed call must not be repeated yet.

        Args:
            now: Current time.
            failed_at: Time at which the call failed.
            failures: Failed calls in a row, at least 1.
            is_heard: Whether another router confirms the tables in time.
            is_behind: Whether it reported a change that is not applied yet.
            is_for_upstreams: Whether the table is that of upstreams, whose feed is the
                one that tries whether the store answers again.
            has_answer: Whether another table was read since.
        """
        elapsed = now - failed_at
        backoff = min(0.1 * 2.0 ** min(failures, 8), RETRY_LIMIT_SECONDS)
        if is_heard and is_behind:
            # The store answers others, so there is nothing to take turns for.
            recovered = now - self.confirmed_since
            return elapsed < backoff or recovered < self._spread() * SPREAD_SECONDS
        if is_heard:
            elapsed = min(elapsed, now - self.confirmed_since)
            if self.place == 0 and has_answer:
                return False
            if self.place == 0 and (is_for_upstreams or not self.is_failing):
                delay = min(0.5 * 2.0 ** min(failures, 8), READER_RETRY_LIMIT_SECONDS)
                return elapsed < delay
            shortest, longest = (
                CONFIRMED_RETRY_SECONDS
                if is_for_upstreams
                else CONFIRMED_TABLE_RETRY_SECONDS
            )
            return elapsed < shortest + self._spread() * (longest - shortest)
        if has_answer:
            return False
        if not is_for_upstreams and not self.is_failing:
            return elapsed < backoff
        if not is_for_upstreams:
            delay = TABLE_RETRY_SECONDS * 2.0 ** min(failures - 1, MAX_TABLE_DOUBLINGS)
            if elapsed < delay * (1 + self._spread()):
                return True
        return elapsed < backoff or not self.is_turn(now)

    def _spread(self) -> float:
        """Returns a number from 0 to 1 that differs between routers."""
        return hash_pair("store-retry", self.router_id) / 2**64


@dataclass(slots=True)
class PartFeedState:
    """What is known of the table of prompt parts.

    Attributes:
        position: Position up to which this router has received changes.
        changed: Position of the newest change that this router received.
        wanted: Position of the newest change that another router reported.
        heard_at: Local time in seconds of the last such report.
    """

    position: tuple[int, int] = (0, 0)
    changed: tuple[int, int] = (0, 0)
    wanted: tuple[int, int] = (0, 0)
    heard_at: float = float("-inf")

    def record(self, position: tuple[int, int], *, is_changed: bool) -> None:
        """Records an answer of the store."""
        self.position = position
        if is_changed:
            self.changed = position

    def hear(self, position: tuple[int, int], now: float) -> None:
        """Records a report of a router that follows the table."""
        self.wanted = max(self.wanted, position)
        self.heard_at = now

    @property
    def is_behind(self) -> bool:
        """Whether there is a change that this router has not read."""
        return self.wanted > self.position

    def is_confirmed(self, now: float) -> bool:
        """Returns whether another router follows the table."""
        return now - self.heard_at < PART_NEWS_SECONDS
