"""Log lines about floods, at most one a second of each kind."""

from __future__ import annotations

import logging
import time

from ..core.blackboard import Blackboard
from ..core.connection_memory import ConnectionKind
from ..core.held_bytes import MEGABYTE, HeldKind

_LOG = logging.getLogger(__name__)

LOG_INTERVAL_SECONDS = 1.0
"""Shortest time between two lines of a kind."""


class FloodLog:
    """Names the organisation whose bodies take most, when there is no room."""

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._refused = 0
        self._logged_at = self._cut_logged_at = float("-inf")

    def note_refusal(self) -> None:
        """Counts a request that was refused because its body found no room."""
        self._refused += 1
        now = time.monotonic()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        held, memory = self._board.held_bytes, self._board.connection_memory
        owner = held.find_largest_owner()
        bodies = held.by_kind[HeldKind.REQUEST] / MEGABYTE
        receiving = memory.by_kind[ConnectionKind.RECEIVING] / MEGABYTE
        _LOG.warning(
            "requests refused for lack of memory",
            extra={
                "reason": "no-room",
                "organisation": owner,
                "detail": f"{self._refused} since the last such line; bodies take "
                f"{bodies:.1f} MB, of which this organisation has "
                f"{held.count(owner) / MEGABYTE:.1f} MB, and connections that receive "
                f"{receiving:.1f} MB",
            },
        )
        self._logged_at, self._refused = now, 0

    def may_log_cut(self) -> bool:
        """Returns whether a refused connection whose body was cut off is logged."""
        now = time.monotonic()
        if now - self._cut_logged_at < LOG_INTERVAL_SECONDS:
            return False
        self._cut_logged_at = now
        return True
