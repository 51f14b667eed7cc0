"""Callers of the soak, and what they check of each answer."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass, field
from random import Random

import curio
import h11

from sequoiamoor.net.http_client import ClientConnection
from sequoiamoor.types import Address

from .replicas import build_event

PATIENCE_SECONDS = 4.0
EVENTS_MOST = 30
PAUSE_SECONDS = 0.15
PROMISED_NOT_RUN = (408, 421, 429, 503)
HOST = "soak.example"
_WHOLE_EVENTS = re.compile(rb"(?s).*\n\n")


@dataclass(frozen=True, slots=True)
class SoakRoute:
    """How requests on one route may be treated.

    Attributes:
        runs_once: Whether a request may run once at most.
    """

    path: str
    service: str
    is_stream: bool
    runs_once: bool


ROUTES = (
    SoakRoute("/look/", "desk", is_stream=False, runs_once=False),
    SoakRoute("/hold/", "desk", is_stream=False, runs_once=True),
    SoakRoute("/chat/", "talk", is_stream=True, runs_once=True),
    SoakRoute("/summary/", "talk", is_stream=True, runs_once=False),
)


@dataclass(slots=True)
class Asked:
    """One request and how it ended.

    Attributes:
        status: Status of the answer, None if none came.
        is_whole: Whether the answer came to its end.
    """

    request_id: str
    route: SoakRoute
    organisation: str
    key: str
    router: str
    sent_at: float
    status: int | None = None
    is_whole: bool = False
    body: bytes = b""
    signature: str | None = None
    events: int = 0
    detail: str = ""


def find_violation(asked: Asked) -> str | None:
    """Returns which promise the answer itself breaks."""
    name = f"{asked.request_id} on {asked.route.path} at {asked.router}"
    if asked.status is None or not 200 <= asked.status < 300:
        return None
    if asked.signature is None:
        return f"MIXED: {name}: success without a signature"
    if not asked.signature.endswith("." + asked.request_id):
        return f"MIXED: {name}: signature {asked.signature} of another request"
    if not asked.route.is_stream:
        whole = f"{asked.route.path} {asked.request_id}".encode()
        if asked.is_whole and asked.body != whole:
            return f"MIXED: {name}: body {asked.body!r} is not whole or not its own"
        return None
    expected = b"".join(
        build_event(asked.request_id, number) for number in range(asked.events)
    )
    if asked.is_whole and asked.body != expected:
        return f"ORDER: {name}: ended as complete with {asked.body[-60:]!r}"
    match = _WHOLE_EVENTS.match(asked.body)
    events = match[0] if match else b""
    if not expected.startswith(events):
        return f"ORDER: {name}: events {events[-80:]!r} are not the next ones"
    return None


@dataclass
class Callers:
    """Sends requests through the proxies of the routers until stopped.

    Attributes:
        keys: Valid keys by organisation; others change them.
        asked: All requests.
        violations: Promises that an answer broke.
    """

    seed: int
    fronts: dict[str, Address]
    keys: dict[str, list[str]]
    asked: list[Asked] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    is_stopped: bool = False
    _number: int = 0

    async def run(self, number: int) -> None:
        """Sends requests one after the other, many on one connection."""
        rng = Random(f"{self.seed} {number}")
        connection: ClientConnection | None = None
        router = ""
        while not self.is_stopped:
            if connection is None:
                router = rng.choice(sorted(self.fronts))
                connection = await self.connect(router)
            if connection is not None:
                connection = await self._ask_once(connection, router, rng)
            await curio.sleep(rng.uniform(0.0, PAUSE_SECONDS))
        if connection is not None:
            await connection.close()

    async def connect(self, router: str) -> ClientConnection | None:
        """Connects to a router; returns None if that fails."""
        try:
            return await ClientConnection.connect(self.fronts[router], timeout=1.0)
        except OSError:
            return None

    async def _ask_once(
        self, connection: ClientConnection, router: str, rng: Random
    ) -> ClientConnection | None:
        asked = self._choose(router, rng)
        if await self.ask(connection, asked, rng) and rng.random() < 0.9:
            return connection
        await connection.close()
        return None

    def _choose(self, router: str, rng: Random) -> Asked:
        self._number += 1
        organisation = rng.choice(sorted(self.keys))
        keys = self.keys[organisation]
        return Asked(
            request_id=f"r{self.seed:x}-{self._number}",
            route=rng.choice(ROUTES),
            organisation=organisation,
            key=rng.choice(keys) if keys else "none",
            router=router,
            sent_at=0.0,
        )

    async def ask(
        self, connection: ClientConnection, asked: Asked, rng: Random
    ) -> bool:
        """Sends one request; returns whether its connection can be used again."""
        asked.sent_at = time.monotonic()
        self.asked.append(asked)
        try:
            async with curio.timeout_after(PATIENCE_SECONDS + 1.0):
                is_reusable = await self._exchange(connection, asked, rng)
        except curio.TaskTimeout:
            asked.detail, is_reusable = "no answer in time", False
        except (OSError, h11.ProtocolError) as err:
            asked.detail, is_reusable = repr(err), False
        violation = find_violation(asked)
        if violation is not None:
            self.violations.append(violation)
        return is_reusable

    async def _exchange(
        self, connection: ClientConnection, asked: Asked, rng: Random
    ) -> bool:
        path = asked.route.path
        if asked.route.is_stream:
            asked.events = rng.randint(1, EVENTS_MOST)
            path += f"?events={asked.events}"
        fields = {
            "host": HOST,
            "x-attempt-id": asked.request_id,
            "x-deadline-ms": str(int(PATIENCE_SECONDS * 1000)),
            "authorization": f"Bearer {asked.key}",
        }
        await connection.send_request("POST", path, fields, b"{}")
        response = await connection.receive_response()
        asked.status = response.status
        asked.signature = response.headers.get("x-server-signature")
        while (data := await connection.receive_data()) is not None:
            asked.body += data
        asked.is_whole = True
        if not connection.is_reusable or "close" in response.headers.get(
            "connection", ""
        ):
            return False
        connection.start_next_cycle()
        return True
