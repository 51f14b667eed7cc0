"""How old this router's knowledge of the keys is."""

from __future__ import annotations

import time
from collections.abc import Callable

FEED_LAG_SECONDS = 1.0
"""Time by which a feed may lag behind the writes that its store acknowledged. A store
that drops its history may tell nothing of the changes of the last second."""

CLOCK_DRIFT = 0.001
"""Largest difference in rate between the clocks of the store and of this VM."""


class StoreClock:
    """Tells when an answer of the store was made, in the time of this VM.

    A feed answers up to its whole wait after it was asked. No answer is made before it
    is asked for, so each call bounds the difference between the two clocks, and the
    tightest bound dates the answers of calls that waited.
    """

    def __init__(self) -> None:
        self._offset = float("-inf")
        self._noted_at = float("-inf")

    def date(self, asked_at: float, store_time: float) -> float:
        """Returns a local time that is not later than the making of the answer.

        Args:
            asked_at: Local time at which the answer was asked for.
            store_time: Steady clock of the store when it answered, in seconds; it
                starts again if the store is replaced.
        """
        if store_time < self._noted_at:
            self._offset = float("-inf")
        elif self._offset > float("-inf"):
            self._offset -= (store_time - self._noted_at) * CLOCK_DRIFT
        self._noted_at = store_time
        self._offset = max(self._offset, asked_at - store_time)
        return store_time + self._offset


def read_boot_time() -> float:
    """Returns seconds since the VM started, with the time that it was suspended.

    The monotonic clock stands still while a VM is suspended, but keys are taken away
    all the same.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class KeyFreshness:
    """Tells whether a key that was taken away could still be accepted here.

    Attributes:
        limit: Seconds after which a configuration must be confirmed again, None if
            keys may be used however old it is.
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
        """Returns the present time of the clock that ages are counted by."""
        return self._read_time()

    def confirm(self, asked_at: float) -> None:
        """Takes note that the configuration in force was the newest at a time.

        Args:
            asked_at: Time at which the question was sent that the store answered.
        """
        self._confirmed_at = max(self._confirmed_at, asked_at)

    @property
    def age(self) -> float:
        """Seconds since the configuration was last known to be the newest."""
        return self._read_time() - self._confirmed_at

    @property
    def age_ms(self) -> int | None:
        """The age in whole milliseconds for logs, None before any confirmation."""
        return None if self.age == float("inf") else round(self.age * 1000)

    def is_fresh(self) -> bool:
        """Returns whether keys may be accepted."""
        return self.limit is None or self.age < self.limit
