"""How old this router's knowledge of the keys is."""

from __future__ import annotations

import time
from collections.abc import Callable


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
