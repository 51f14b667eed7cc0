"""CPU time of the tasks that exchange state with other routers and the platform."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any


class ControlUsage:
    """Counts the CPU time of control tasks; an activation of the curio kernel.

    Relaying and control share one loop on one thread, so the CPU time of the process
    tells nothing about the budget of control. A task that a control task spawns is a
    control task too.
    """

    def __init__(
        self,
        add: Callable[[float], None],
        *,
        read_time: Callable[[], float] = time.thread_time,
    ) -> None:
        """Makes a count without tasks.

        Args:
            add: Takes CPU time in seconds, as it is used.
            read_time: Returns the CPU time of the thread in seconds.
        """
        self._add = add
        self._read_time = read_time
        self._tasks: set[int] = set()
        self._is_counting = False
        self._began = 0.0

    def include(self, task: Any) -> None:
        """Counts the running task, and the tasks that it spawns, from now on."""
        self._tasks.add(task.id)
        self._start()

    @contextmanager
    def count(self) -> Iterator[None]:
        """Counts work for control that another task does without waiting."""
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
        self._began = self._read_time()

    def _stop(self) -> None:
        self._is_counting = False
        self._add(max(0.0, self._read_time() - self._began))

    # What the kernel calls.

    def activate(self, kernel: Any) -> None:
        """Takes note of the kernel; nothing is needed from it."""

    def created(self, task: Any) -> None:
        """Takes note of a new task."""
        if task.parentid in self._tasks:
            self._tasks.add(task.id)

    def running(self, task: Any) -> None:
        """Takes note that a task continues."""
        if task.id in self._tasks:
            self._start()

    def suspended(self, task: Any, trap: Any) -> None:
        """Takes note that a task waits or ended."""
        if self._is_counting:
            self._stop()

    def terminated(self, task: Any) -> None:
        """Takes note that a task ended."""
        self._tasks.discard(task.id)
