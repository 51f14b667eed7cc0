"""Store, replicas and routers of one soak."""

from __future__ import annotations

import json
import time
from pathlib import Path
from random import Random
from typing import Any

import curio

from sequoiamoor.net.http_client import exchange

from ..platform.standin import StandInStore
from .callers import HOST
from .replicas import Replica, RunLog
from .routers import GRACE_SECONDS, Router

ORGANISATIONS = ("captains", "owners", "partners", "crews")
SERVICES = {"talk": 3, "desk": 2}
READY_SECONDS = 20.0
END_SECONDS = GRACE_SECONDS + 3.0
CHECK_SECONDS = 0.05
CONTACT_SECONDS = 3.0
"""Time without a disturbance after which the bounds of time hold."""


class SoakFleet:
    """Everything that a soak starts.

    Attributes:
        keys: Valid keys by organisation.
        revoked_at: Time at which the store acknowledged that a key is taken away.
        store_touched_at: Time of the last fault of the store.
        violations: Promises that a process broke.
    """

    def __init__(self, seed: int, folder: Path, routers: int) -> None:
        self._rng = Random(f"fleet {seed}")
        self._version = 0
        self._numbers = 0
        self.store = StandInStore()
        self.log = RunLog()
        self.keys: dict[str, list[str]] = {
            name: [self._make_key(), self._make_key()] for name in ORGANISATIONS
        }
        self.revoked_at: dict[str, float] = {}
        self.store_touched_at = float("-inf")
        self.violations: list[str] = []
        self.replicas: list[Replica] = []
        self.routers: dict[str, Router] = {}
        self._folder = folder
        self._router_count = routers

    def _make_key(self) -> str:
        self._numbers += 1
        return f"key-{self._numbers}-{self._rng.randrange(1 << 32):x}"

    async def start(self) -> None:
        """Starts everything and waits until the routers are ready."""
        address = await self.store.listen()
        self.write_configuration()
        for service, count in SERVICES.items():
            for number in range(count):
                name = f"i-{service}-{number}"
                rng = Random(self._rng.random())
                replica = Replica(
                    self.store,
                    self.log,
                    service,
                    name,
                    rng=rng,
                    is_calm=self.is_calm,
                )
                await replica.start()
                self.replicas.append(replica)
        for number in range(self._router_count):
            router = Router(f"router-{number}", self._folder, address)
            await router.listen()
            router.write_settings()
            router.start()
            self.routers[router.name] = router
        for router in self.routers.values():
            await self.wait_ready(router)

    async def wait_ready(self, router: Router) -> bool:
        """Waits until a router says that it is ready; returns whether it did."""
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            if await self._is_ready(router):
                return True
            await curio.sleep(CHECK_SECONDS)
        return False

    async def _is_ready(self, router: Router) -> bool:
        try:
            response, _ = await exchange(
                router.ready, "GET", "/api/readiness", timeout=1.0
            )
        except OSError:
            return False
        return response.status == 200

    async def restart(self, router: Router) -> None:
        """Waits for the end of a process that was told to end, and starts it again.

        Another fault may have started it again already.
        """
        if not router.is_ending:
            return
        process_id = router.process_id
        end = time.monotonic() + END_SECONDS
        while router.exit_code is None and time.monotonic() < end:
            await curio.sleep(CHECK_SECONDS)
            if router.is_paused:
                end += CHECK_SECONDS
            if router.process_id != process_id:
                return
        if router.process_id != process_id:
            return
        if router.exit_code is None:
            self.violations.append(f"{router.name} did not end in {END_SECONDS} s")
            router.end()
        router.start()

    def write_configuration(self) -> None:
        """Writes the configuration as the next version."""
        self._version += self._rng.randint(1, 5)
        document = {
            "version": self._version,
            "routes": [
                _build_route("look", "desk", "idempotent", maxAttempts=2),
                _build_route("hold", "desk", "non_idempotent"),
                _build_route("chat", "talk", "streaming"),
                _build_route(
                    "summary", "talk", "streaming", streamResumption=True, maxAttempts=2
                ),
            ],
            "services": [
                {"name": "talk", "inferenceEngine": {"stride": 7}},
                {"name": "desk"},
            ],
            "limits": {"maxHeaderBytes": 16_384, "idleTimeoutMs": 15_000},
            "tenants": [
                {"name": name, "apiKeys": keys} for name, keys in self.keys.items()
            ],
        }
        self.store.put("op", "config", json.dumps(document).encode())

    def change_keys(self, rng: Random) -> None:
        """Takes a key away from one organisation and adds another one."""
        name = rng.choice(sorted(self.keys))
        gone = self.keys[name].pop(0)
        self.keys[name].append(self._make_key())
        self.write_configuration()
        self.revoked_at[gone] = time.monotonic()

    def is_calm(self) -> bool:
        """Returns whether no router, link or store was disturbed lately."""
        last = max(one.disturbed_at for one in self.routers.values())
        return time.monotonic() - max(last, self.store_touched_at) > CONTACT_SECONDS

    def touch_all(self) -> None:
        """Takes note of a fault of the store."""
        self.store_touched_at = time.monotonic()

    async def heal(self) -> None:
        """Ends all faults."""
        self.store.status, self.store.loses_answers = None, False
        for replica in self.replicas:
            await replica.heal()
            if not replica.is_running:
                await replica.start()
        for router in self.routers.values():
            await router.heal()

    def check_processes(self) -> None:
        """Takes note of routers that ended by themselves."""
        for router in self.routers.values():
            found = router.find_violation()
            if found is not None:
                self.violations.append(found)
                router.start()

    def end(self) -> None:
        """Ends the routers."""
        for router in self.routers.values():
            router.end()


def _build_route(name: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3_000,
        "targetLatencyMs": 500,
        "gapTargetMs": 300,
        "maxAttempts": 1,
        "service": service,
        **changes,
    }
