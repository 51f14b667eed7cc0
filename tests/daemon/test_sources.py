"""Tests of the feeds against a stand-in of the store."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import curio
import pytest

from sequoiamoor.core.blackboard import create_blackboard
from sequoiamoor.core.cadence import Cadence
from sequoiamoor.core.directory import LAPSE_SECONDS, Directory
from sequoiamoor.core.freshness import KeyFreshness
from sequoiamoor.daemon import sources
from sequoiamoor.daemon.control import Control
from sequoiamoor.daemon.sources import Sources
from sequoiamoor.metrics import Metrics
from sequoiamoor.policies import create_policy
from sequoiamoor.settings import RouterSettings
from sequoiamoor.types import RouterIdentity

from ..platform.standin import StandInStore

SESSION_SECONDS = 20.0


def build_entry(**changes: Any) -> bytes:
    entry = {
        "service": "talk",
        "address": "10.0.0.9:8042",
        "zone": "a",
        "slots": 24,
        "state": "ready",
        "born": 7,
        **changes,
    }
    return json.dumps(entry).encode()


class Feeds:
    """Feeds of one router, with the store that they follow."""

    def __init__(self, store: StandInStore) -> None:
        self.store = store
        assert store.address is not None
        address = {"host": store.address.host, "port": store.address.port}
        settings = RouterSettings.model_validate(
            {
                "router_id": "router-0",
                "zone": "a",
                "http": {"host": "127.0.0.1", "port": 0},
                "control": {"host": "127.0.0.1", "port": 0},
                "platform": address,
            }
        )
        self.board = create_blackboard(
            RouterIdentity("router-0", 1, "a"), settings.options
        )
        metrics = Metrics()
        rng = Random(1)
        policy = create_policy("shared-load", rng=rng)
        self.control = Control(self.board, policy, metrics, settings=settings, rng=rng)
        self.directory = Directory(self.board.upstreams)
        self.freshness = KeyFreshness(60.0)
        self.sources = Sources(
            self.board,
            self.control,
            self.directory,
            self.freshness,
            metrics,
            address=store.address,
            cadence=Cadence(sources.RETRY_SECONDS),
            rng=rng,
        )

    async def wait_for(self, check: Callable[[], bool]) -> None:
        while not check():
            await curio.sleep(0.005)

    def replicas(self) -> set[str]:
        return set(self.board.upstreams.replicas)


def run(session: Callable[[Feeds], Awaitable[None]]) -> None:
    async def main() -> None:
        store = StandInStore()
        await store.listen()
        feeds = Feeds(store)
        async with curio.timeout_after(SESSION_SECONDS), curio.TaskGroup() as tasks:
            await tasks.spawn(feeds.sources.follow_configuration)
            await tasks.spawn(feeds.sources.follow_upstreams)
            await session(feeds)
            await tasks.cancel_remaining()

    curio.run(main)


def build_configuration(version: int) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


def test_configuration_follows_the_store_and_never_goes_back() -> None:
    """Guards against an old configuration that comes into force again."""

    async def session(feeds: Feeds) -> None:
        state = feeds.board.configuration
        feeds.store.put("op", "config", build_configuration(7))
        await feeds.wait_for(lambda: state.version == 7)
        assert feeds.freshness.is_fresh()
        feeds.store.put("op", "config", build_configuration(5))
        feeds.store.put("op", "config", b"unreadable")
        feeds.store.put("op", "config", build_configuration(9))
        await feeds.wait_for(lambda: state.version == 9)

    run(session)


def test_replicas_follow_their_entries_also_over_a_lost_history() -> None:
    """Guards against replicas that left and are kept, and live ones that are lost."""

    async def session(feeds: Feeds) -> None:
        store = feeds.store
        store.put("servers", "i-1", build_entry())
        store.put("servers", "i-2", build_entry())
        store.put("servers", "i-3", build_entry(slots="many"))
        await feeds.wait_for(lambda: feeds.replicas() == {"i-1", "i-2"})
        store.put("servers", "i-1", build_entry(state="draining"))
        replicas = feeds.board.upstreams.replicas
        await feeds.wait_for(lambda: replicas["i-1"].is_leaving)
        store.drop("servers", "i-1")
        store.put("servers", "i-4", build_entry())
        store.oldest = store.version
        await feeds.wait_for(lambda: feeds.replicas() == {"i-2", "i-4"})

    run(session)


def test_store_that_is_out_changes_nothing() -> None:
    """Guards against a fleet without replicas while the store is out."""

    async def session(feeds: Feeds) -> None:
        store = feeds.store
        store.put("servers", "i-1", build_entry())
        await feeds.wait_for(lambda: feeds.replicas() == {"i-1"})
        store.status = 503
        # Calls of the other feed tell nothing about the one of the entries.
        reachable = feeds.sources._is_reachable
        await feeds.wait_for(lambda: not reachable["servers"])
        seen = len(store.calls)
        await feeds.wait_for(lambda: len(store.calls) > seen + 2)
        assert feeds.replicas() == {"i-1"}
        store.drop("servers", "i-1")
        store.status = None
        await feeds.wait_for(lambda: "i-1" in feeds.directory.missing)
        assert feeds.replicas() == {"i-1"}
        store.put("servers", "i-1", build_entry())
        await feeds.wait_for(lambda: not feeds.directory.missing)
        assert feeds.replicas() == {"i-1"}

    run(session)


def test_routers_find_each_other_in_the_store() -> None:
    """Guards against a router that joins and is never heard of."""

    async def session(feeds: Feeds) -> None:
        feeds.control.bind()
        other = {"address": "10.0.0.7:7400", "zone": "b", "written_ms": 4_000}
        old = {"address": "10.0.0.8:7400", "zone": "b", "written_ms": -90_000}
        feeds.store.put("routers", "router-1", json.dumps(other).encode())
        feeds.store.put("routers", "router-2", json.dumps(old).encode())
        feeds.store.put("routers", "router-3", b"unreadable")
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(feeds.sources.follow_routers)
            await feeds.wait_for(lambda: ("routers", "router-0") in feeds.store.rows)
            await tasks.cancel_remaining()
        membership = feeds.control.membership
        assert [str(one) for one in membership.candidates()] == ["10.0.0.7:7400"]
        await feeds.sources.remove_own_address()
        assert ("routers", "router-0") not in feeds.store.rows

    run(session)


def test_feed_that_regains_the_store_wakes_the_other_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against keys that stay uncertain after a partition has healed.

    A call that was sent into the partition waits for its timeout, here a long one.
    """
    monkeypatch.setattr(sources, "CALL_TIMEOUT_SECONDS", 60.0)

    async def session(feeds: Feeds) -> None:
        store, reachable = feeds.store, feeds.sources._is_reachable
        await feeds.wait_for(lambda: reachable == {"op": True, "servers": True})
        store.refused_tables = {"op", "servers"}
        await feeds.wait_for(lambda: reachable == {"op": False, "servers": False})
        store.silent_tables, store.refused_tables = {"op"}, {"servers"}
        await feeds.wait_for(lambda: store.hanging > 0)
        store.silent_tables, store.refused_tables = set(), set()
        await feeds.wait_for(lambda: reachable == {"op": True, "servers": True})

    run(session)


def test_entry_that_lapsed_is_dropped_in_time_after_a_partition() -> None:
    """Guards against work for a replica that left while its router was cut off.

    The operators hold a router to it 3 s after the partition has healed.
    """
    first_answer = sources.RETRY_MAX_DELAY_SECONDS + sources.CALL_TIMEOUT_SECONDS
    assert first_answer + LAPSE_SECONDS < 3.0
