"""Callers of the soak and the checks of the answers that they receive."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random

import curio
import h11

from sequoiamoor.net.http_client import ClientConnection
from sequoiamoor.types import Address

from .replicas import BAD_PARTS, build_event
from .statements import Traffic

REQUEST_DEADLINE_SECONDS = 4.0
MAX_EVENTS = 30
MAX_PAUSE_SECONDS = 0.15
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
HOST = "soak.example"


@dataclass(frozen=True, slots=True)
class SoakRoute:
    """A route and what the router guarantees for its requests.

    Attributes:
        service: Service whose replicas serve the route.
        is_stream: Whether the answer is a stream of events.
        runs_once: Whether a request may be executed at most once.
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
class RequestRecord:
    """One request and its outcome.

    Attributes:
        router: Name of the router that the request was sent to.
        sent_at: Monotonic time of sending, in seconds.
        status: Status of the answer, None if none arrived.
        is_complete: Whether the answer arrived up to its end.
        signature: Signature header of the replica that answered.
        event_count: Number of events that a stream was asked for.
        prompt: Parts of its prompt.
        detail: Error that ended the request, if any.
    """

    request_id: str
    route: SoakRoute
    organisation: str
    key: str
    router: str
    sent_at: float
    status: int | None = None
    is_complete: bool = False
    body: bytes = b""
    signature: str | None = None
    event_count: int = 0
    prompt: str = ""
    detail: str = ""


def build_prompt(request_id: str, bad_part: str | None = None, place: int = 0) -> str:
    """Returns two parts that requests share and the request's own one.

    Args:
        request_id: Identifier of the request.
        bad_part: A part that is put before, between or after the shared ones.
        place: Number of shared parts before it.
    """
    parts = ["aa0", "aa1"]
    if bad_part is not None:
        parts.insert(place, bad_part)
    own_part = request_id.encode().hex()
    return ",".join(f"{part}:100" for part in [*parts, own_part])


def find_violation(record: RequestRecord) -> str | None:
    """Returns the guarantee that the answer itself violates, None if it is valid."""
    label = f"{record.request_id} on {record.route.path} at {record.router}"
    if record.status is None or not 200 <= record.status < 300:
        return None
    if record.signature is None:
        return f"MIXED: {label}: success without a signature"
    if not record.signature.endswith("." + record.request_id):
        return (
            f"MIXED: {label}: signature {record.signature} belongs to another request"
        )
    if not record.route.is_stream:
        expected_body = f"{record.route.path} {record.request_id}".encode()
        if record.is_complete and record.body != expected_body:
            return (
                f"MIXED: {label}: body {record.body!r} is incomplete or belongs to "
                "another request"
            )
        return None
    expected = b"".join(
        build_event(record.request_id, index) for index in range(record.event_count)
    )
    if record.is_complete and record.body != expected:
        return f"ORDER: {label}: ended as complete with {record.body[-60:]!r}"
    if not expected.startswith(record.body):
        return f"ORDER: {label}: {record.body[-80:]!r} is not the expected stream"
    return None


@dataclass
class Callers:
    """Sends requests through the proxies of the routers until stopped.

    Attributes:
        proxy_addresses: Address of the caller proxy by router.
        keys: Valid keys by organisation; configuration faults change them meanwhile.
        traffic: Which router each request goes through.
        records: All requests that were sent.
        violations: Guarantees that an answer violated.
        bad_part_organisation: Organisation some of whose requests have a prompt part
            under which replicas end; None for none.
    """

    seed: int
    proxy_addresses: dict[str, Address]
    keys: dict[str, list[str]]
    traffic: Traffic
    records: list[RequestRecord] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    is_stopped: bool = False
    bad_part_organisation: str | None = None
    _request_count: int = 0

    async def run(self, index: int) -> None:
        """Sends requests one after the other, reusing connections.

        Args:
            index: Index of the caller; it seeds what the caller draws.
        """
        rng = Random(f"{self.seed} {index}")
        connection: ClientConnection | None = None
        router = ""
        while not self.is_stopped:
            if connection is None:
                router = rng.choice(sorted(self.proxy_addresses))
                connection = await self.connect(router)
            if connection is not None:
                connection = await self._send_next(connection, router, rng)
            await curio.sleep(rng.uniform(0.0, MAX_PAUSE_SECONDS))
        if connection is not None:
            await connection.close()

    async def connect(self, router: str) -> ClientConnection | None:
        """Connects to the proxy of a router; returns None if that fails."""
        try:
            return await ClientConnection.connect(
                self.proxy_addresses[router], timeout=1.0
            )
        except OSError:
            return None

    async def _send_next(
        self, connection: ClientConnection, router: str, rng: Random
    ) -> ClientConnection | None:
        record = self._draw_request(router, rng)
        if await self.send(connection, record, rng) and rng.random() < 0.9:
            return connection
        await connection.close()
        return None

    def _draw_request(self, router: str, rng: Random) -> RequestRecord:
        self._request_count += 1
        organisation = rng.choice(sorted(self.keys))
        keys = self.keys[organisation]
        record = RequestRecord(
            request_id=f"r{self.seed:x}-{self._request_count}",
            route=rng.choice(ROUTES),
            organisation=organisation,
            key=rng.choice(keys) if keys else "none",
            router=router,
            sent_at=0.0,
        )
        if record.route.is_stream:
            record.prompt = self._draw_prompt(record, rng)
        return record

    async def send(
        self, connection: ClientConnection, record: RequestRecord, rng: Random
    ) -> bool:
        """Sends one request; returns whether its connection is reusable."""
        record.sent_at = time.monotonic()
        self.records.append(record)
        self.traffic.routers[record.request_id] = record.router
        try:
            async with curio.timeout_after(REQUEST_DEADLINE_SECONDS + 1.0):
                is_reusable = await self._exchange(connection, record, rng)
        except curio.TaskTimeout:
            record.detail, is_reusable = "no answer in time", False
        except (OSError, h11.ProtocolError) as err:
            record.detail, is_reusable = repr(err), False
        violation = find_violation(record)
        if violation is not None:
            self.violations.append(violation)
        return is_reusable

    def _draw_prompt(self, record: RequestRecord, rng: Random) -> str:
        is_bad = record.organisation == self.bad_part_organisation
        if is_bad and record.route.path == "/summary/" and rng.random() < 0.5:
            return build_prompt(record.request_id, BAD_PARTS[0], rng.randrange(3))
        return build_prompt(record.request_id)

    async def _exchange(
        self, connection: ClientConnection, record: RequestRecord, rng: Random
    ) -> bool:
        path = record.route.path
        if record.route.is_stream:
            record.event_count = rng.randint(1, MAX_EVENTS)
            path += f"?events={record.event_count}"
        headers = {
            "host": HOST,
            "x-attempt-id": record.request_id,
            "x-deadline-ms": str(int(REQUEST_DEADLINE_SECONDS * 1000)),
            "authorization": f"Bearer {record.key}",
        }
        if record.prompt:
            headers["x-prompt-prefix"] = record.prompt
        await connection.send_request("POST", path, headers, b"{}")
        response = await connection.receive_response()
        record.status = response.status
        record.signature = response.headers.get("x-server-signature")
        self.traffic.note_answer(response.headers, record.router)
        while (data := await connection.receive_data()) is not None:
            record.body += data
        record.is_complete = True
        if not connection.is_reusable or "close" in response.headers.get(
            "connection", ""
        ):
            return False
        connection.start_next_cycle()
        return True
