"""CPU time of the tasks that exchange state with other routers and the platform."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any


class ControlUsage:
    """Counts the CPU time of control tasks, as an activation of the curio kernel.

    Forwarding and control share one event loop on one thread, so the CPU time of the
    process does not show how much control uses. A task that a control task spawns is a
    control task too.
    """

    def __init__(
        self,
        add: Callable[[float], None],
        *,
        read_time: Callable[[], float] = time.thread_time,
    ) -> None:
        """Creates a counter without tasks.

        Args:
            add: Called with each period of used CPU time in seconds.
            read_time: Returns the CPU time of the thread in seconds.
        """
        self._add_seconds = add
        self._read_time = read_time
        self._tasks: set[int] = set()
        self._is_counting = False
        self._started_at = 0.0

    def include(self, task: Any) -> None:
        """Counts the task, which must be running, and the tasks that it spawns."""
        self._tasks.add(task.id)
        self._start()

    @contextmanager
    def count(self) -> Iterator[None]:
        """Counts control work that another task does without waiting in between."""
        if self._is_counting:
            yield
            return
        self._start()
        try:
            yield
        finally:
            self._stop()

    def _start(self) -> None:
        self._is_counting = True
        self._started_at = self._read_time()

    def _stop(self) -> None:
        self._is_counting = False
        self._add_seconds(max(0.0, self._read_time() - self._started_at))

    # Called by the curio kernel.

    def activate(self, kernel: Any) -> None:
        """Does nothing; part of the activation interface."""

    def created(self, task: Any) -> None:
        """Includes a new task if a control task spawned it."""
        if task.parentid in self._tasks:
            self._tasks.add(task.id)

    def running(self, task: Any) -> None:
        """Starts counting when a control task continues."""
        if task.id in self._tasks:
            self._start()

    def suspended(self, task: Any, trap: Any) -> None:
        """Stops counting when a task waits or ends."""
        if self._is_counting:
            self._stop()

    def terminated(self, task: Any) -> None:
        """Forgets a task that ended."""
        self._tasks.discard(task.id)
