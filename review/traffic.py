"""Manifest, sound replicas and requesters that the cases share."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from standins import (
    HOST,
    Message,
    Record,
    Replica,
    Router,
    Store,
    build_message,
    build_success,
    read_message,
)

MODEL_SLOTS, APP_SLOTS = 64, 6
KEYS = {f"tenant-{number}": f"key-{number}-k7b2ex5wa5" for number in range(4)}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
    "tokensPerS": 370000,
}


def build_manifest(changes: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Returns a manifest with two kinds of request of vrby-router.

    Args:
        changes: Fields of routes that differ, by route.
    """

    def route(name: str, **fields: Any) -> dict[str, Any]:
        return (
            {
                "name": name,
                "host": "willow.example",
                "pathPrefix": f"/{name}/",
                "priority": 1,
                "public": False,
            }
            | fields
            | changes.get(name, {})
        )

    stream = {"kind": "streaming", "sessionAffinity": True, "gapTargetMs": 300}
    return {
        "version": 7,
        "routes": [
            route(
                "grant-report",
                **stream,
                service="vrba-model",
                timeoutMs=15000,
                targetLatencyMs=800,
                maxAttempts=2,
                streamResumption=True,
            ),
            route(
                "crew-booking",
                kind="non_idempotent",
                service="vrba-app",
                timeoutMs=600,
                targetLatencyMs=100,
                maxAttempts=1,
                public=True,
            ),
        ],
        "services": [
            {
                "name": "vrba-model",
                "healthPath": "/healthz",
                "connectionLimit": 360,
                "inferenceEngine": {
                    "slots": MODEL_SLOTS,
                    "kvCapacityTokens": 502804,
                    "stride": 5,
                    "models": [{"name": "m"}],
                },
            },
            {"name": "vrba-app", "healthPath": "/healthz", "connectionLimit": 100},
        ],
        "limits": LIMITS,
        "tenants": [
            {"name": name, "apiKeys": [key], "priority": 1}
            for name, key in KEYS.items()
        ],
    }


@dataclass
class Runs:
    """Times at which a replica began to run a request, by its id."""

    record: Record
    begun: dict[str, int] = field(default_factory=dict)

    def note(self, replica: Replica, request: Message) -> None:
        """Records that a request runs."""
        request_id = request.headers["x-attempt-id"]
        self.begun[request_id] = self.begun.get(request_id, 0) + 1
        self.record.write(f"run {request_id} at {replica.name}")

    async def run_stream(
        self, replica: Replica, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers with a stream of 40 events in about 2 s."""
        self.note(replica, request)
        request_id = request.headers["x-attempt-id"]
        first = int(request.headers.get("last-event-id", "0"))
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
                "X-Server-Signature: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first + 1, 41):
            await asyncio.sleep(0.05)
            if writer.is_closing():
                return
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")

    async def run_plain(
        self, replica: Replica, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers after 100 ms, the longest work of the kind."""
        self.note(replica, request)
        await asyncio.sleep(0.1)
        writer.write(build_success(request, request.headers["x-attempt-id"].encode()))


@dataclass
class Outcomes:
    """Results of the requests of one kind.

    Attributes:
        waits: Results with the seconds from the send to the end of the answer, or of
            the wait for it, and the monotonic time of the send.
        lost: Requests that were sent on a kept channel, ran at a sound replica, and
            whose channel was closed before the first byte of an answer.
    """

    statuses: dict[str, int] = field(default_factory=dict)
    waits: list[tuple[str, float, float]] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)

    def count(self, result: str) -> None:
        """Counts a result."""
        self.statuses[result] = self.statuses.get(result, 0) + 1


class Requester:
    """A requester that keeps its channel to one router open.

    Attributes:
        out: Where the results of its requests are counted.
    """

    def __init__(self, name: str, router: Router, runs: Runs, out: Outcomes) -> None:
        self._name, self._router, self._runs, self.out = name, router, runs, out
        self._count = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._is_kept = False

    @property
    def is_connected(self) -> bool:
        """Whether the channel is open."""
        return self._writer is not None

    async def connect(self) -> bool:
        """Opens a channel; returns whether it could."""
        port = int(self._router.http.rpartition(":")[2])
        try:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    HOST, port, limit=1 << 16
                )
        except OSError:
            return False
        self._is_kept = False
        return True

    def close(self) -> None:
        """Closes the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self,
        path: str,
        headers: dict[str, str],
        body: bytes,
        *,
        timeout: float,
        chunk_bytes: int | None = None,
        gap: float | None = None,
    ) -> None:
        """Sends one request and reads its answer.

        Args:
            path: Its path.
            headers: Its header fields, beside those of all requests.
            body: Its body.
            timeout: Seconds that the requester waits.
            chunk_bytes: Size of the chunks of the body; None to send a length.
            gap: Pause of a stream after which the requester leaves, in seconds.
        """
        if self._writer is None and not await self.connect():
            self.out.count("no channel")
            await asyncio.sleep(0.2)
            return
        assert self._reader is not None
        assert self._writer is not None
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        fields = {
            "Host": "willow.example",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(int(timeout * 1000)),
        } | headers
        record = self._runs.record
        record.write(f"sent {request_id} {path} of {len(body)} bytes")
        result, ends = "closed", False
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(
                    build_message(f"POST {path} HTTP/1.1", fields, body, chunk_bytes)
                )
                await self._writer.drain()
                answer = await read_message(self._reader, gap=gap)
            if answer is not None:
                result = answer.start.split(" ")[1]
                ends = "close" in answer.headers.get("connection", "").lower()
        except TimeoutError:
            result = "gave up"
        except asyncio.IncompleteReadError as error:
            result = "broken off" if error.partial else "closed"
        except OSError:
            result = "closed"
        milliseconds = (time.monotonic() - sent_at) * 1000
        record.write(f"answered {request_id}: {result} after {milliseconds:.0f} ms")
        self.out.count(result)
        self.out.waits.append((result, milliseconds / 1000, sent_at))
        if result == "closed" and self._is_kept and request_id in self._runs.begun:
            self.out.lost.append(request_id)
        if not result.isdigit():
            self.close()
            await asyncio.sleep(0.2)
        elif ends:
            self.close()
        self._is_kept = self._writer is not None


async def book_repeatedly(requester: Requester, *, timeout: float = 0.6) -> None:
    """Places bookings one after the other until cancelled."""
    try:
        while True:
            await requester.send("/crew-booking/2f", {}, b"x" * 600, timeout=timeout)
            await asyncio.sleep(0.05)
    finally:
        requester.close()


def build_report_headers(tenant: str, session: str) -> dict[str, str]:
    """Returns the header fields of a report."""
    return {
        "Authorization": f"Bearer {KEYS[tenant]}",
        "X-Model": "m",
        "X-Token-Counts": "1460,200",
        "X-Prompt-Prefix": f"5c1e07a2:512,{session}:900,{session}ff:48",
        "Content-Type": "application/octet-stream",
    }


async def cancel_all(tasks: list[asyncio.Task[None]]) -> None:
    """Cancels tasks and waits for their end."""
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=1.0)


async def start_fleet(
    store: Store,
    routers: list[Router],
    changes: dict[str, dict[str, Any]] | None = None,
) -> bool:
    """Starts the routers and waits until all are ready."""
    store.put("op", "config", build_manifest(changes or {}))
    for router in routers:
        router.start()
    return all([await router.wait_ready() for router in routers])
