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


class _Timeout:
    def __init__(self, context: Any) -> None:
        self._context = context

    async def __aenter__(self) -> Self:
        await self._context.__aenter__()
        return self

    async def _leave(self, *exit_arguments: object) -> bool:
        try:
            return bool(await self._context.__aexit__(*exit_arguments))
        finally:
            await _discard_undelivered_timeout()


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


async def _discard_undelivered_timeout() -> None:
    """Discards a timeout that was noticed in a block but not delivered in it.

    A timer that is noticed while its task is ready stays pending until the task waits
    again. curio keeps it beyond the block if an outer timeout has expired by then, and
    the next wait would end by a timeout that belongs to no block. curio sets the timer
    of the outer block again, so that one is not lost.
    """
    pending = await curio.set_cancellation(None)
    if pending is not None and not isinstance(pending, curio.TaskTimeout):
        await curio.set_cancellation(pending)


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
