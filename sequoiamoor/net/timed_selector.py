"""Selector of an event loop that tells for how long the loop waits."""

from __future__ import annotations

import selectors
import time
from typing import Any

from ..core.loop_use import LoopUse


class TimedSelector(selectors.DefaultSelector):
    """Selector that records the waits of its event loop.

    Attributes:
        use: Part of the time for which the loop has work.
    """

    def __init__(self) -> None:
        super().__init__()
        self.use = LoopUse()

    def select(self, timeout: float | None = None) -> list[Any]:
        """Waits for events, as the base class does."""
        started_at = time.monotonic()
        events: list[Any] = super().select(timeout)
        self.use.note_wait(started_at, time.monotonic())
        return events
