"""Streams whose callers read slowly: read ahead of them, and ended for lack of room."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

from ..core.held_bytes import MEGABYTE, HeldBytes, HeldKind, Holding
from ..core.read_backlogs import ReadBacklogs
from ..metrics import Metrics
from ..net.write_buffer import WriteBuffer

_LOG = logging.getLogger(__name__)

LOG_INTERVAL_SECONDS = 1.0
"""Shortest time between two lines about ended streams."""


class SlowReaders:
    """Streams of one process of which a part waits for the caller."""

    def __init__(self, account: HeldBytes, metrics: Metrics) -> None:
        """Initialises the state; the account then ends slow readers to make room.

        Args:
            account: Account of what is held for requests and answers.
            metrics: Metrics to update.
        """
        self._account = account
        self._metrics = metrics
        self._backlogs: ReadBacklogs[WriteBuffer] = ReadBacklogs()
        self._ended = 0
        self._logged_at = float("-inf")
        account.free_room = self._end_slowest

    def create_buffer(
        self,
        sock: Any,
        send: Callable[[memoryview], Awaitable[None]],
        *,
        organisation: str | None,
    ) -> WriteBuffer:
        """Returns the buffer of a stream whose caller has not taken all of it.

        Args:
            sock: Standard socket of the caller's connection.
            send: Sends bytes to the caller, however long that takes.
            organisation: Organisation of the caller; None if it is unknown.
        """
        holding = Holding(self._account, HeldKind.UNREAD, organisation)
        return WriteBuffer(sock, send, holding=holding, backlogs=self._backlogs)

    def _end_slowest(self) -> bool:
        """Ends the stream whose caller is furthest behind; returns whether one may."""
        now = time.monotonic()
        slowest = self._backlogs.find_slowest(now)
        if slowest is None:
            return False
        owner, size = slowest.owner, slowest.size
        slowest.end()
        self._metrics.slow_readers_ended.inc()
        self._ended += 1
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            _LOG.warning(
                "stream of a slow caller ended for lack of memory",
                extra={
                    "reason": "no-room",
                    "organisation": owner,
                    "detail": f"{self._ended} since the last such line; the last one "
                    f"had {size / MEGABYTE:.1f} MB unread",
                },
            )
            self._logged_at, self._ended = now, 0
        return True
