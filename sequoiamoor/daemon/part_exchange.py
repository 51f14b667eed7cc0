"""Passes the cases of prompt parts on between the routers and the store."""

from __future__ import annotations

import time
from collections import OrderedDict
from random import Random

import curio

from ..core.blackboard import Blackboard
from ..core.case_writes import draw_takeover_delay, find_own_delay
from ..core.part_cases import PartCase, PartKey
from ..core.quarantine import MAX_CASES
from ..timeouts import wait_for
from ..types import RouterId
from .control import Control
from .part_guard import PartGuard
from .part_store import PartStore

STEP_SECONDS = 0.1
"""Interval between decisions while a quarantine may begin."""

IDLE_STEP_SECONDS = 2.0
"""The same while there are only cases that may grow old."""

AUTHOR_SECONDS = 10.0
"""Time for which the router that passed a case on also passes on what others add."""


class PartExchange:
    """Connects the guard of this router to the other routers and to the store.

    In a fleet of up to ``flat_limit`` routers everyone passes on what is new, so that a
    case reaches routers that are cut off from its author. In a larger fleet only the
    author sends it to all; the store has it for the others.
    """

    def __init__(
        self,
        board: Blackboard,
        guard: PartGuard,
        control: Control,
        store: PartStore,
        *,
        rng: Random,
    ) -> None:
        self._board = board
        self._guard = guard
        self._control = control
        self._store = store
        self._rng = rng
        self._published_at: OrderedDict[PartKey, float] = OrderedDict()
        guard.publish = self.publish
        control.handle_cases = self.receive
        control.list_cases = guard.quarantine.cases.values

    async def run(self) -> None:
        """Applies what the store says and decides on cases until cancelled.

        Writes have a task of their own, so that a store that is out or slow delays no
        decision.
        """
        while True:
            await self._wait_until_due()
            await self._store.apply_received()
            await self._guard.step()
            for key in self._guard.take_asked():
                self._store.note_asked(key)
            await curio.sleep(STEP_SECONDS)

    async def _wait_until_due(self) -> None:
        quarantine = self._board.quarantine
        if quarantine.is_deciding or self._store.has_received:
            return
        if quarantine.is_idle:
            await self._guard.changed.wait()
        else:
            await wait_for(IDLE_STEP_SECONDS, self._guard.changed.wait)

    def publish(self, case: PartCase) -> None:
        """Passes on a case that this router changed."""
        self._published_at[case.key] = time.monotonic()
        self._published_at.move_to_end(case.key)
        while len(self._published_at) > MAX_CASES:
            self._published_at.popitem(last=False)
        self._control.send_cases([case])
        stored = self._store.find_stored(case.key)
        delay = find_own_delay(case, stored, is_large_fleet=self._is_large_fleet)
        self._store.note_changed(case, delay=delay)

    async def receive(self, cases: list[PartCase], source: RouterId) -> None:
        """Applies the cases of another router."""
        for received in cases:
            case = await self._guard.apply(received, source)
            if case is None:
                continue
            if self._is_forwarded(case.key):
                self._control.send_cases([case])
            elif case.state != received.state:
                self._control.send_cases([case], source)
            own, members = self._board.identity.router_id, self._board.members
            others = members.keys() if self._is_large_fleet else ()
            delay = draw_takeover_delay(case.key, own, others, self._rng)
            self._store.note_changed(case, delay=delay)

    @property
    def _is_large_fleet(self) -> bool:
        return len(self._board.members) >= self._board.options.flat_limit

    def _is_forwarded(self, key: PartKey) -> bool:
        if not self._is_large_fleet:
            return True
        published_at = self._published_at.get(key, float("-inf"))
        return time.monotonic() - published_at < AUTHOR_SECONDS
