"""Replicas that say that they leave while their row cannot be read."""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

import curio
import pytest

from .callers import ROUTES, Callers, RequestRecord, SoakRoute
from .fleet import UNDISTURBED_SECONDS, SoakFleet
from .replicas import Replica
from .run import watch_processes
from .statements import DRAIN_NOTICE_LIMIT_SECONDS

pytestmark = pytest.mark.processes

ROUTERS = 2
SEED = 41010
CHECK_SECONDS = 1.5
LOOK, HOLD = (
    next(route for route in ROUTES if route.path == path)
    for path in ("/look/", "/hold/")
)
SLOW_LINK_SECONDS = 0.6


@dataclass
class Scene:
    """Two routers before one replica, without a fault for a while.

    Attributes:
        said_at: Monotonic time in seconds of the answer that said that it leaves.
    """

    fleet: SoakFleet
    callers: Callers
    said_at: float = 0.0

    @property
    def replica(self) -> Replica:
        """The replica."""
        return self.fleet.replicas[0]

    async def send(self, router: str, route: SoakRoute = LOOK) -> RequestRecord:
        """Sends one request through a router."""
        request_id = f"one-{len(self.callers.records)}"
        key = self.fleet.keys["captains"][0]
        record = RequestRecord(request_id, route, "captains", key, router, 0.0)
        connection = await self.callers.connect(router)
        assert connection is not None
        await self.callers.send(connection, record, Random(1))
        await connection.close()
        return record

    async def hear(self, router: str, route: SoakRoute = LOOK) -> None:
        """Lets a caller hear through a router, once, that the replica leaves."""
        self.replica.statements.false_leaving = True
        assert (await self.send(router, route)).status == 200
        assert self.replica.statements.has_said_leaving
        self.said_at = time.monotonic()

    async def leave_before_row(self, age: float) -> None:
        """Lets a new process say that it leaves before its row can be read.

        Args:
            age: Seconds from its start.
        """
        self.fleet.store.status = 503
        await curio.sleep(1.0)
        await self.replica.start()
        await curio.sleep(age)
        await self.hear("router-0")
        self.fleet.store.status = None

    async def leave_unlisted(self) -> None:
        """Lets the replica say that it leaves while its row is missing."""
        await self.replica.start()
        await curio.sleep(1.0)
        self.replica.proxy.delay = SLOW_LINK_SECONDS
        hearing = await curio.spawn(self.hear, "router-0", HOLD)
        await curio.sleep(SLOW_LINK_SECONDS / 2)
        self.replica.is_listed = False
        self.replica.expire_entry()
        await hearing.join()
        self.replica.proxy.delay = 0.0
        self.replica.is_listed = True

    async def find_violations(self) -> list[str]:
        """Sends requests once the time is over, and returns what was violated."""
        begin = self.said_at + DRAIN_NOTICE_LIMIT_SECONDS
        await curio.sleep(begin + 0.1 - time.monotonic())
        while time.monotonic() < begin + CHECK_SECONDS:
            for name in self.fleet.routers:
                assert (await self.send(name)).status is not None
            await curio.sleep(0.05)
        fleet = self.fleet
        return [*self.callers.violations, *fleet.violations, *fleet.log.violations]


async def play(fleet: SoakFleet, age: float | None) -> list[str]:
    """Plays one case and returns the guarantees that were violated.

    Args:
        fleet: The fleet, with one replica.
        age: Seconds from the start of a new process, before its row; None for one whose
            row is missing.
    """
    await fleet.start()
    router = fleet.routers["router-0"]
    router.kill()
    await fleet.replicas[0].crash()
    # It reads the row of the former process, and meets no refused connection.
    router.start()
    assert await fleet.wait_ready(router)
    await curio.sleep(UNDISTURBED_SECONDS + 1.0)
    watch = await curio.spawn(watch_processes, fleet)
    addresses = {name: one.caller_proxy.address for name, one in fleet.routers.items()}
    callers = Callers(SEED, addresses, fleet.keys, fleet.log.traffic)
    scene = Scene(fleet, callers)
    await (scene.leave_unlisted() if age is None else scene.leave_before_row(age))
    violations = await scene.find_violations()
    await watch.cancel()
    return violations


@pytest.mark.parametrize("age", [0.0, 0.19, None])
def test_replica_that_leaves_while_its_row_cannot_be_read_gets_nothing_later(
    age: float | None,
) -> None:
    """Guards against requests to a replica that leaves, through any router.

    A router that heard it of a new process started after the former one had ended, and
    nothing but the connection tells which process said it.
    """
    with tempfile.TemporaryDirectory(prefix="sequoiamoor-soak-") as folder:
        fleet = SoakFleet(SEED, Path(folder), ROUTERS, services={"desk": 1})
        try:
            violations = curio.run(play, fleet, age)
        finally:
            fleet.kill()
    assert violations == []
