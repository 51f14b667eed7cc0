"""Order in which requests begin when many arrive in one pass of the event loop."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

WaiterT = TypeVar("WaiterT")


class Turns(Generic[WaiterT]):
    """Bounds the requests that begin in one pass; the others wait for a later one.

    Those that wait begin with one request of each organisation in turn, so that a flood
    of one does not delay the others.

    Attributes:
        limit: Number of requests that begin in one pass.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._begun = 0
        self._waiting: dict[str | None, deque[tuple[WaiterT, float]]] = {}

    def begin(self) -> bool:
        """Returns whether a request begins now; if not, it is to be added."""
        if self._waiting or self._begun >= self.limit:
            return False
        self._begun += 1
        return True

    def add(self, organisation: str | None, waiter: WaiterT, now: float) -> None:
        """Adds a request that waits.

        Args:
            organisation: Its organisation; all unknown ones count as one.
            waiter: The request.
            now: Monotonic time in seconds.
        """
        self._waiting.setdefault(organisation, deque()).append((waiter, now))

    def remove(self, organisation: str | None, waiter: WaiterT) -> None:
        """Removes a request that waits no longer, if it is there."""
        waiting = self._waiting.get(organisation, ())
        rest = deque(entry for entry in waiting if entry[0] is not waiter)
        if rest:
            self._waiting[organisation] = rest
        else:
            self._waiting.pop(organisation, None)

    def start_pass(self) -> list[WaiterT]:
        """Starts the next pass; returns the waiting requests that begin in it."""
        begun: list[WaiterT] = []
        while self._waiting and len(begun) < self.limit:
            organisation = next(iter(self._waiting))
            waiting = self._waiting.pop(organisation)
            begun.append(waiting.popleft()[0])
            if waiting:
                self._waiting[organisation] = waiting
        self._begun = len(begun)
        return begun

    def find_wait(self, now: float) -> float:
        """Returns for how many seconds a request has waited at most; 0 if none does."""
        return max(
            (now - waiting[0][1] for waiting in self._waiting.values()), default=0.0
        )
