"""Requests that wait until a pass of the event loop has room for them."""

from __future__ import annotations

import logging
import time
from typing import Any

import curio

from ..core.turns import Turns
from ..timeouts import STRAY_TIMEOUTS

_LOG = logging.getLogger(__name__)

MAX_REQUESTS_PER_PASS = 32
"""Requests that begin before timers, control and requests in service run again."""

RETRY_DELAY_SECONDS = 0.05
"""Pause after an exception, so that one that returns does not occupy the loop."""


class RequestTurns:
    """Lets a bounded number of requests begin in each pass of the event loop."""

    def __init__(self) -> None:
        self._turns: Turns[Any] = Turns(MAX_REQUESTS_PER_PASS)
        self._has_begun = curio.Event()
        self._runner: Any = None
        self._waiting_count = 0

    def __len__(self) -> int:
        """Returns the number of requests that have not begun.

        One that was given its turn counts until its task runs.
        """
        return self._waiting_count

    def find_wait(self, now: float) -> float:
        """Returns for how many seconds a request has waited at most."""
        return self._turns.find_wait(now)

    async def wait(self, organisation: str | None) -> None:
        """Waits until a request of an organisation may begin."""
        if self._runner is None:
            self._runner = await curio.spawn(self._run, daemon=True)
        if not self._has_begun.is_set():
            await self._has_begun.set()
        if self._turns.begin():
            return
        may_begin = curio.Event()
        self._turns.add(organisation, may_begin, time.monotonic())
        self._waiting_count += 1
        try:
            await may_begin.wait()
        except curio.CancelledError:
            self._turns.remove(organisation, may_begin)
            raise
        finally:
            self._waiting_count -= 1

    async def _run(self) -> None:
        while True:
            try:
                await self._start_passes()
            except (Exception, *STRAY_TIMEOUTS):
                # Otherwise all later requests would wait without an end.
                _LOG.exception("waiting requests were not begun; trying again")
            await curio.sleep(RETRY_DELAY_SECONDS)

    async def _start_passes(self) -> None:
        while True:
            while begun := self._turns.start_pass():
                for may_begin in begun:
                    await may_begin.set()
                await curio.sleep(0)
            # A task that is woken runs in the next pass, and so do those that it wakes.
            await self._has_begun.wait()
            self._has_begun.clear()
