"""Tests of calls to the platform's store against a stand-in."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from sequoiamoor.errors import (
    HistoryLostError,
    PlatformUnavailableError,
    VersionConflictError,
)
from sequoiamoor.platform.store import StoreClient

from .standin import StandInStore

# Bound on a whole session: a session that hangs fails instead of stopping the run.
SESSION_SECONDS = 20.0


def run(session: Callable[[StandInStore, StoreClient], Awaitable[Any]]) -> None:
    async def main() -> None:
        store = StandInStore()
        client = StoreClient(await store.listen(), timeout=0.2)
        async with curio.timeout_after(SESSION_SECONDS):
            await session(store, client)
        await client.close()

    curio.run(main)


@pytest.mark.parametrize("page_rows", [1, 2, 500])
def test_whole_table_is_read_in_pages(page_rows: int) -> None:
    """Guards against entries that are taken for gone because of a page's end."""

    async def session(store: StandInStore, client: StoreClient) -> None:
        store.page_rows = page_rows
        for number in range(5):
            store.put("servers", f"i-{number}", b"%d" % number)
        store.put("op", "config", b"x")
        rows = await client.read_table("servers")
        assert [(one.key, one.value) for one in rows.rows] == [
            (f"i-{number}", b"%d" % number) for number in range(5)
        ]
        assert rows.version == store.version

    run(session)


def test_feed_tells_changes_and_removals() -> None:
    """Guards against a replica that left and is not noticed."""

    async def session(store: StandInStore, client: StoreClient) -> None:
        store.put("servers", "i-1", b"1")
        version = (await client.read_table("servers")).version
        store.put("servers", "i-2", b"2")
        store.drop("servers", "i-1")
        rows = await client.follow_table("servers", after=version, wait=0.0)
        assert [(one.key, one.is_removed) for one in rows.rows] == [
            ("i-2", False),
            ("i-1", True),
        ]
        rows = await client.follow_table("servers", after=rows.version, wait=0.02)
        assert rows.rows == ()

    run(session)


def test_history_that_is_gone_is_told_apart() -> None:
    """Guards against changes that are missed without a word."""

    async def session(store: StandInStore, client: StoreClient) -> None:
        store.oldest = 500
        with pytest.raises(HistoryLostError):
            await client.follow_table("servers", after=100, wait=0.0)

    run(session)


@pytest.mark.parametrize("fault", ["busy", "refused", "silent", "lost"])
def test_store_that_does_not_answer_is_no_empty_list(fault: str) -> None:
    """Guards against an outage that empties the lists, and one that goes on after."""

    async def session(store: StandInStore, client: StoreClient) -> None:
        store.put("servers", "i-1", b"1")
        store.status = {"busy": 503, "refused": 429}.get(fault)
        store.is_silent = fault == "silent"
        store.loses_answers = fault == "lost"
        with pytest.raises(PlatformUnavailableError):
            await client.read_table("servers")
        store.status, store.is_silent, store.loses_answers = None, False, False
        assert len((await client.read_table("servers")).rows) == 1

    run(session)


def test_conditional_write_has_one_winner() -> None:
    """Guards against two writers that both believe that they were first."""

    async def session(store: StandInStore, client: StoreClient) -> None:
        await client.write_row("own", "k", b"a", expected=0)
        with pytest.raises(VersionConflictError):
            await client.write_row("own", "k", b"b", expected=0)
        rows = (await client.read_table("own")).rows
        assert [one.value for one in rows] == [b"a"]
        await client.remove_row("own", "k")
        assert (await client.read_table("own")).rows == ()

    run(session)


def test_row_with_unreadable_bytes_has_no_value() -> None:
    """Guards against a feed that a foreign writer's row stops."""

    async def session(store: StandInStore, client: StoreClient) -> None:
        store.put("servers", "i-1", b"1")
        store.rows["servers", "i-1"]["value"] = "%%%"
        rows = await client.read_table("servers")
        assert [one.value for one in rows.rows] == [b""]

    run(session)
