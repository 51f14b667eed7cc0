"""Retried reads and conditional writes with the platform client."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import curio

from ..core.retries import draw_backoff
from ..core.writes import ConditionalWrite, Put, WriteResult
from ..errors import PlatformUnavailableError, VersionConflictError
from .platform import PlatformClient

_LOG = logging.getLogger(__name__)

RETRY_BASE_DELAY_SECONDS = 0.02
RETRY_MAX_DELAY_SECONDS = 0.5


Result = TypeVar("Result")


async def read_with_retries(
    read: Callable[[], Awaitable[Result]], *, timeout: float, rng: Random
) -> Result:
    """Repeats a read until the platform answers or the timeout has passed.

    Args:
        read: The read.
        timeout: Seconds after which a failure is not retried.
        rng: Generator for the delays between the attempts.

    Raises:
        PlatformUnavailableError: If the platform did not answer in time.
    """
    give_up_at = time.monotonic() + timeout
    while True:
        try:
            return await read()
        except PlatformUnavailableError:
            if time.monotonic() >= give_up_at:
                raise
            await curio.sleep(rng.uniform(0, 0.2))


async def complete_write(
    platform: PlatformClient, write: ConditionalWrite, *, rng: Random
) -> WriteResult:
    """Repeats a conditional write and reads it back until its effect is known.

    The calling code bounds the time with a timeout, after which the effect is unknown.
    """
    failures = 0
    while write.result is None:
        operation = write.next_operation()
        try:
            if isinstance(operation, Put):
                write.handle_written(
                    await platform.write(
                        operation.key,
                        operation.value,
                        expected_version=operation.expected_version,
                    )
                )
            else:
                entry = await platform.read(operation.key)
                write.handle_stored_value(entry.version, entry.value)
        except VersionConflictError as err:
            write.handle_stored_value(err.version, err.value)
        except (PlatformUnavailableError, ValueError, KeyError, TypeError) as err:
            write.handle_no_answer()
            failures += 1
            _LOG.debug(
                "table operation on key %s was not answered, retrying: %s",
                write.key,
                err,
            )
            await curio.sleep(
                draw_backoff(
                    failures,
                    base=RETRY_BASE_DELAY_SECONDS,
                    limit=RETRY_MAX_DELAY_SECONDS,
                    rng=rng,
                )
            )
    return write.result
