"""Answers that callers read more slowly than replicas send them."""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

MIN_BACKLOG_SECONDS = 1.0
"""Time for which a byte must have waited for its caller before the answer may be ended
to make room. A sound caller may stop reading for a moment."""

AnswerT = TypeVar("AnswerT", bound=Hashable)


class ReadBacklogs(Generic[AnswerT]):
    """Answers of which a part waits to be read, by the age of their oldest such byte.

    The age tells a caller that reads a few bytes now and then from one that keeps up,
    which the time since its last read does not.
    """

    def __init__(self) -> None:
        self._waiting_since: dict[AnswerT, float] = {}
        # No answer can be ended before this time.
        self._none_until = -math.inf

    def __len__(self) -> int:
        """Returns the number of answers."""
        return len(self._waiting_since)

    def set_oldest(self, answer: AnswerT, since: float) -> None:
        """Records from when on the oldest unread byte of an answer has waited.

        Args:
            answer: The answer.
            since: Monotonic time in seconds.
        """
        self._waiting_since[answer] = since

    def remove(self, answer: AnswerT) -> None:
        """Removes an answer, if it is there."""
        self._waiting_since.pop(answer, None)

    def find_slowest(self, now: float) -> AnswerT | None:
        """Returns the answer that should end to make room, if any may.

        Args:
            now: Monotonic time in seconds.
        """
        if now < self._none_until or not self._waiting_since:
            return None
        slowest = min(self._waiting_since, key=self._waiting_since.__getitem__)
        may_end_at = self._waiting_since[slowest] + MIN_BACKLOG_SECONDS
        if now < may_end_at:
            # Oldest bytes only get younger: no search is needed until then.
            self._none_until = may_end_at
            return None
        return slowest
