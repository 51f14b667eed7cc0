"""Age of the configuration that says which API keys this router accepts."""

from __future__ import annotations

import time
from collections.abc import Callable

FEED_LAG_SECONDS = 1.0
"""Time by which the changes that the store reports may lag behind the writes that it
acknowledged. A store that drops its history may not report the changes of the last
second."""

MAX_CLOCK_DRIFT_FRACTION = 0.001
"""Largest difference in rate between the clocks of the store and of this VM, as a
fraction."""


class StoreClock:
    """Converts the store's times of its answers to the clock of this VM.

    The store may hold a call for its whole wait time before it answers. No answer is
    made before it is requested, so each call bounds the offset between the two
    clocks, and the tightest bound dates the answers of calls that were held.

    Attributes:
        era: Era of the store whose clock this is.
    """

    def __init__(self) -> None:
        self.era = 0
        self._offset = float("-inf")
        self._last_store_time = float("-inf")

    def date(self, asked_at: float, store_time: float, *, era: int = 0) -> float:
        """Returns a local time in seconds that is not after the answer was made.

        Args:
            asked_at: Local time in seconds at which the answer was requested.
            store_time: Steady clock of the store when it answered, in seconds; it
                restarts if the store is replaced.
            era: Era of the store. The clock of another era may also be ahead, by which
                answers would be dated into the future.
        """
        if store_time < self._last_store_time or era != self.era:
            self.era = era
            self._offset = float("-inf")
        elif self._offset > float("-inf"):
            self._offset -= (
                store_time - self._last_store_time
            ) * MAX_CLOCK_DRIFT_FRACTION
        self._last_store_time = store_time
        self._offset = max(self._offset, asked_at - store_time)
        return store_time + self._offset

    def convert(self, store_time: float) -> float:
        """Returns a local time in seconds that is not after a time of the store.

        Args:
            store_time: Steady clock of the store, in seconds, as told by a peer.
        """
        elapsed = max(store_time - self._last_store_time, 0.0)
        return store_time + self._offset - elapsed * MAX_CLOCK_DRIFT_FRACTION


def read_boot_time() -> float:
    """Returns the seconds since the VM started, including time it was suspended.

    The monotonic clock stops while a VM is suspended, but keys can be revoked during
    that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class UnixClock:
    """Unix time that no later step of this VM's time of day changes."""

    def __init__(self) -> None:
        self._offset = time.time() - read_boot_time()

    def read_ms(self) -> float:
        """Returns the Unix time in milliseconds."""
        return (read_boot_time() + self._offset) * 1000


class KeyFreshness:
    """Limits how long keys are accepted after the configuration was last confirmed.

    Without a limit, a router that cannot reach the store would accept a revoked key.

    Attributes:
        limit: Seconds after which the configuration must be confirmed again; None if
            keys are accepted regardless of its age.
    """

    def __init__(
        self,
        limit: float | None,
        *,
        read_time: Callable[[], float] = read_boot_time,
    ) -> None:
        self.limit = limit
        self._read_time = read_time
        self._confirmed_at = float("-inf")

    def read_time(self) -> float:
        """Returns the current time in seconds of the clock used for ages."""
        return self._read_time()

    def confirm(self, newest_at: float) -> None:
        """Records that the configuration in force was the newest one at a time.

        Args:
            newest_at: That time in seconds. It may be later than the time at which the
                answered call was sent, because the store may hold a call.
        """
        self._confirmed_at = max(self._confirmed_at, newest_at)

    @property
    def confirmed_at(self) -> float:
        """Local time in seconds at which the configuration was known to be newest."""
        return self._confirmed_at

    @property
    def age(self) -> float:
        """Seconds since the configuration was last known to be the newest."""
        return self._read_time() - self._confirmed_at

    @property
    def age_ms(self) -> int | None:
        """The age for logs in whole milliseconds; None before any confirmation."""
        return None if self.age == float("inf") else round(self.age * 1000)

    def is_fresh(self) -> bool:
        """Returns whether keys may be accepted."""
        return self.is_recent(self._confirmed_at)

    def is_recent(self, confirmed_at: float) -> bool:
        """Returns whether keys may be accepted that were confirmed at a time.

        Args:
            confirmed_at: That time in seconds of this clock.
        """
        return self.limit is None or self._read_time() - confirmed_at < self.limit
