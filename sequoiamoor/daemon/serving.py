"""The task that serves a request, beside one that waits for the caller's close."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio

from ..errors import CallerClosedError, CallerClosedLateError, RefusalError
from ..net.http_server import ServerConnection


class ServingInterruptedError(Exception):
    """A task of a request was cancelled although nothing was to end the request."""


def build_closed_error(*, may_have_run: bool) -> RefusalError:
    """Returns the refusal for a caller that closed its side before the answer.

    It may have closed its sending side only, which looks the same, and wait for the
    answer.
    """
    if may_have_run:
        return CallerClosedLateError(
            "the caller closed its side of the connection before the answer, and the "
            "request may have run; keep that side open until the answer is there"
        )
    return CallerClosedError(
        "the caller closed its side of the connection before the answer, and the "
        "request was not run; send it again and keep that side open until the answer "
        "is there",
        retry_after=0.0,
    )


def _release_tasks(tasks: list[Any]) -> None:
    """Lets ended tasks be freed as soon as nothing refers to them.

    Otherwise they, their group, and what the traceback of a cancellation refers to are
    kept until a full garbage collection, which stops a busy router for longer the more
    of them there are.
    """
    for task in tasks:
        task.taskgroup = None
        if task.terminated and isinstance(task.exception, curio.CancelledError):
            task.exception.__traceback__ = task.exception.__context__ = None


async def serve_until_closed(
    connection: ServerConnection,
    serve: Callable[..., Any],
    *arguments: Any,
    on_start: Callable[[Any], None] = lambda task: None,
) -> None:
    """Serves a request until that ends or the caller closes its side.

    Args:
        connection: Connection of the caller.
        serve: Coroutine function that serves the request.
        arguments: Its arguments.
        on_start: Called with the task that serves the request.

    Raises:
        MalformedRequestError: If h11 reads the request in another way.
        Exception: If serving the request or waiting for the close failed.
        ServingInterruptedError: If either ended by a cancellation of its own.
    """
    connection.parse_received()
    started: list[Any] = []
    try:
        async with curio.TaskGroup(wait=any) as tasks:
            serving = await tasks.spawn(serve, *arguments)
            started.append(serving)
            on_start(serving)
            started.append(await tasks.spawn(connection.wait_closed))
    finally:
        _release_tasks(started)
    # A task group does not raise the exception of a failed task.
    if isinstance(serving.exception, Exception):
        raise serving.exception
    if (error := tasks.exception) is None:
        return
    if isinstance(error, Exception):
        raise error
    # A timeout of curio that reaches no context of its own is not an Exception.
    raise ServingInterruptedError(
        f"a task of the request ended by {error!r}; report it with the log"
    ) from error
