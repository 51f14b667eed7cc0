"""Tests of the thread that follows the store."""

from __future__ import annotations

import time
from random import Random
from typing import Any, cast

import curio
import pytest

from sequoiamoor.daemon.feeds import (
    MAX_STARVED_CALLS,
    STARVED_SECONDS,
    FeedResult,
    Schedule,
    StoreFeeds,
)
from sequoiamoor.errors import PlatformUnavailableError


class FailingClient:
    """Client of a store whose calls all fail after a time."""

    timeout = 0.5

    def __init__(self, seconds: float) -> None:
        self.calls = 0
        self._seconds = seconds

    async def read_table(self, table: str) -> Any:
        self.calls += 1
        time.sleep(self._seconds)
        raise PlatformUnavailableError(f"call {self.calls}")

    async def close(self) -> None:
        pass


@pytest.mark.parametrize(
    ("seconds", "calls"),
    [
        (0.0, 1),
        (FailingClient.timeout + 2 * STARVED_SECONDS, MAX_STARVED_CALLS + 1),
    ],
    ids=["store-slow", "process-slow"],
)
def test_call_that_this_process_was_too_slow_for_is_no_outage(
    seconds: float, calls: int
) -> None:
    """Guards against an outdated table in use because its reader was starved."""

    async def main() -> FeedResult | None:
        client = FailingClient(seconds)
        feeds = StoreFeeds(
            {"servers": Schedule(lambda: 0.0, lambda: 0.0)},
            create_client=lambda: cast(Any, client),
            read_time=time.monotonic,
            rng=Random(1),
        )
        seen: list[FeedResult | None] = []
        task = await curio.spawn(feeds.run, lambda: seen.append(feeds.take()))
        while not seen:
            await curio.sleep(0.005)
        await task.cancel()
        return seen[0]

    result = curio.run(main)
    assert result is not None
    assert str(result.error) == f"call {calls}"
