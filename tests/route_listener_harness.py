"""Harness that runs callers against the route listener and scripted replicas."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Any

from sequoiamoor.core.directory import UpstreamDirectory
from sequoiamoor.core.freshness import KeyFreshness
from sequoiamoor.core.repeats import RepeatBudget, RepeatLimits
from sequoiamoor.core.statements import ReplicaProcess
from sequoiamoor.core.upstreams import Replica
from sequoiamoor.daemon.dispatcher import Dispatcher
from sequoiamoor.daemon.forwarder import Forwarder
from sequoiamoor.daemon.route_listener import RouteListener
from sequoiamoor.declaration import parse_declaration
from sequoiamoor.platform import callers, replicas
from sequoiamoor.policies.round_robin import RoundRobinPolicy
from sequoiamoor.settings import LimitSettings

from .listener_harness import (
    ListenerHarness,
    ScriptedUpstream,
    Step,
    parse,
    run_harness,
)

KEY = "key-1"


def build_route(prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    return {
        "host": "alley.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 4_000,
        "target_ms": 2_000,
        "attempts": 2,
        "is_public": True,
        "services": [["talk", 1]],
        **changes,
    }


DECLARATION = {
    "organisations": {"captains": {"keys": [KEY]}},
    "classes": {},
    "services": {"talk": {"kind": "engine", "event_tokens": 7}},
    "routes": {
        "look": build_route("/look/", "repeatable"),
        "hold": build_route("/hold/", "once"),
        "chat": build_route("/chat/", "stream"),
        "summary": build_route("/summary/", "stream", is_resumable=True),
        "brief": build_route("/brief/", "stream", is_resumable=True, pause_ms=100),
        "swift": build_route("/swift/", "repeatable", target_ms=100),
        "story": build_route(
            "/story/", "stream", is_resumable=True, target_ms=100, pause_ms=100
        ),
        "keyed": build_route("/keyed/", "repeatable", is_public=False),
        "quick": build_route("/quick/", "once", timeout_ms=150),
    },
}


def route_request(
    path: str,
    *,
    request_id: str = "9c41",
    extra: bytes = b"",
    body: bytes = b"{}",
    host: str = "alley.example",
) -> bytes:
    return (
        b"POST %b HTTP/1.1\r\nHost: %b\r\nX-Attempt-Id: %b\r\nX-Deadline-Ms: 3000\r\n"
        b"%bContent-Length: %d\r\n\r\n%b"
        % (
            path.encode(),
            host.encode(),
            request_id.encode(),
            extra,
            len(body),
            body,
        )
    )


def answer(
    body: bytes = b"done",
    *,
    status: int = 200,
    request_id: str | None = "9c41",
    extra: bytes = b"X-Server-Signature: 3e1b\r\n",
) -> bytes:
    id_header = (
        b"" if request_id is None else b"X-Attempt-Id: %b\r\n" % request_id.encode()
    )
    return b"HTTP/1.1 %d X\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
        status,
        id_header,
        extra,
        len(body),
        body,
    )


NOT_RUN = answer(b"", status=503, extra=b"X-Not-Executed: 1\r\n")

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: 9c41\r\n"
    b"X-Server-Signature: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def read_field(request: bytes, name: str) -> str | None:
    """Returns the value of a header field that a replica received."""
    match = re.search(rb"(?im)^%b: ?(.*?)\r$" % name.encode(), request)
    return None if match is None else match[1].decode()


class RouteListenerHarness(ListenerHarness):
    """A route listener with scripted replicas, all in this process.

    Args:
        limit: Revocation limit of keys in seconds, None for no limit.

    Attributes:
        apply_received: Called by the forwarder before its decisions.
        announced: Replicas of which the other routers were told that they are leaving.
    """

    def __init__(
        self, *, options: dict[str, Any] | None = None, limit: float | None = None
    ) -> None:
        super().__init__(options=options)
        self.board.configuration.declaration = parse_declaration(DECLARATION)
        self.freshness = KeyFreshness(limit)
        self.apply_received: Callable[[], None] = lambda: None
        self.announced: list[Replica | ReplicaProcess] = []
        self.directory = UpstreamDirectory(self.board.upstreams)
        policy = RoundRobinPolicy(rng=Random(1))
        self.forwarder = Forwarder(
            self.board,
            Dispatcher(self.board, policy, refuses_unserved=True),
            self.metrics,
            caller_format=callers,
            upstream_format=replicas,
            budget=RepeatBudget(RepeatLimits(ratio=0.2, window=10.0, extra=20.0)),
            freshness=self.freshness,
            directory=self.directory,
            apply_received=lambda: self.apply_received(),
            announce_leaving=self.announced.extend,
            rng=Random(1),
        )
        self.calls = self.forwarder  # type: ignore[assignment]
        self.listener = RouteListener(  # type: ignore[assignment]
            self.board,
            self.forwarder,
            self.metrics,
            limits=LimitSettings.model_validate({}),
        )

    async def add_replicas(
        self, count: int, *scripts: Sequence[Step]
    ) -> list[ScriptedUpstream]:
        """Adds replicas that share one queue of scripts.

        Each request takes the next script, whichever replica receives it.
        """
        remaining_scripts = deque(scripts)
        return [
            await self.add_upstream(
                *[lambda _: remaining_scripts.popleft()] * len(scripts)
            )
            for _ in range(count)
        ]


async def ask(harness: RouteListenerHarness, request: bytes) -> Any:
    """Sends one request on a connection of its own and returns its answer."""
    caller = await harness.connect()
    await caller.send(request)
    await caller.receive_until(b"\r\n\r\n")
    await harness.wait_for(lambda: harness.is_idle())
    await caller.sock.shutdown(1)
    return parse(await caller.receive_all())


def run(
    session: Callable[[RouteListenerHarness], Awaitable[Any]], **changes: Any
) -> Any:
    """Runs one session on an event loop of its own."""
    return run_harness(RouteListenerHarness(**changes), session)
