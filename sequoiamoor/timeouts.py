"""Timeouts of waits on an event loop that may be late.

All waits of the package go through this module. What may be concluded from an expired
timer is the same for each of them:

* Time has passed. It says nothing about what has arrived: each pass of the event loop
  polls the sockets, then notices expired timers, then runs the tasks. Whoever acts on
  an expired timer looks once more at what the wait was for (``peek``, the state of a
  connection, the result that an event announces).
* The timer belongs to the wait that it was set for, and to no later one.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any, Self

import curio
from curio.traps import _unset_timeout

STRAY_TIMEOUTS = (curio.TaskTimeout, curio.TimeoutCancellationError)
"""Timeouts that left every block. They are no ``Exception``, and unlike the other
cancellations they are not meant to end a task."""


class _Timeout:
    def __init__(self, context: Any) -> None:
        self._context = context

    async def __aenter__(self) -> Self:
        await _remove_abandoned_timer()
        await self._context.__aenter__()
        return self

    async def _leave(self, *exit_arguments: object) -> bool:
        task = await curio.current_task()
        # curio would discard any undelivered timeout here, also that of an outer block.
        pending, task.cancel_pending = task.cancel_pending, None
        try:
            return bool(await self._context.__aexit__(*exit_arguments))
        finally:
            task.cancel_pending = _select_undelivered(task, pending)


class TimeoutAfter(_Timeout):
    """Context manager that ends its block by ``curio.TaskTimeout`` after a time."""

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._leave(kind, error, traceback)


class IgnoreAfter(_Timeout):
    """Context manager that leaves its block after a time."""

    @property
    def expired(self) -> bool:
        """Whether the block was left because its time was over."""
        return bool(self._context.expired)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        return await self._leave(kind, error, traceback)


async def _remove_abandoned_timer() -> None:
    """Removes the timer that an ended wait may have left in the queue of the kernel.

    The queue keeps one distant timer for each task, the earliest. One that no longer
    applies, since the task was cancelled or an earlier timer ended its wait, would take
    the place of a later timer, which would never be noticed.
    """
    task = await curio.current_task()
    if task.timeout is None:
        pending = task.cancel_pending
        await _unset_timeout(None)
        task.cancel_pending = pending


def _select_undelivered(
    task: Any, pending: BaseException | None
) -> BaseException | None:
    """Returns what is still to be delivered to the task after it left a block.

    A timer that is noticed while its task is ready stays pending until the task waits
    again. If it belonged to the block that was left, it must end no later wait. If it
    belongs to an outer block, nothing else may end the waits of that block.

    Args:
        task: The task.
        pending: Exception that was pending before the block was left.
    """
    if not isinstance(pending, curio.TaskTimeout):
        return pending
    noticed_at = pending.args[0]
    is_outer_due = any(deadline <= noticed_at for deadline in task._deadlines)
    # curio has set the timer of an outer block again if it was that of the task when
    # the left block was entered. Delivered as well, it would end two waits.
    is_set_again = task.timeout is not None and task.timeout <= noticed_at
    return pending if is_outer_due and not is_set_again else None


def timeout_after(seconds: float) -> TimeoutAfter:
    """Returns a context manager that raises ``curio.TaskTimeout`` after a time.

    In a block inside another one whose time is over as well, the inner one raises
    ``curio.TimeoutCancellationError`` and the outer one ``curio.TaskTimeout``.

    Args:
        seconds: Time after which a wait in the block ends.
    """
    return TimeoutAfter(curio.timeout_after(seconds))


def ignore_after(seconds: float) -> IgnoreAfter:
    """Returns a context manager that leaves its block after a time.

    Args:
        seconds: Time after which a wait in the block ends; ``expired`` is set then.
    """
    return IgnoreAfter(curio.ignore_after(seconds))


async def wait_for(
    seconds: float, function: Callable[..., Awaitable[Any]], *arguments: Any
) -> Any:
    """Awaits the result of a call for a time; returns None if it takes longer."""
    async with ignore_after(seconds):
        return await function(*arguments)
    return None
