"""Requests that wait until a pass of the event loop has room for them."""

from __future__ import annotations

import time
from typing import Any

import curio

from ..core.turns import Turns

MAX_REQUESTS_PER_PASS = 32
"""Requests that begin before timers, control and requests in service run again."""


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
            # Outside a router process, no supervised task does it.
            self._runner = await curio.spawn(self.run, daemon=True)
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

    async def run(self) -> None:
        """Lets waiting requests begin, pass by pass, until cancelled."""
        self._runner = await curio.current_task()
        while True:
            # First, as requests may wait since an earlier run that failed.
            while begun := self._turns.start_pass():
                for may_begin in begun:
                    await may_begin.set()
                await curio.sleep(0)
            # A task that is woken runs in the next pass, and so do those that it wakes.
            await self._has_begun.wait()
            self._has_begun.clear()
