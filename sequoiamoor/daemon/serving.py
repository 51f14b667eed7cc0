"""The task that serves a request, beside one that waits for the caller's close."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio

from ..net.http_server import ServerConnection


class ServingInterruptedError(Exception):
    """A task of a request was cancelled although nothing was to end the request."""


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
        Exception: If serving the request or waiting for the close failed.
        ServingInterruptedError: If either ended by a cancellation of its own.
    """
    async with curio.TaskGroup(wait=any) as tasks:
        serving = await tasks.spawn(serve, *arguments)
        on_start(serving)
        await tasks.spawn(connection.wait_closed)
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
