"""Tests of requests on routes against replicas that fail in various ways."""

from __future__ import annotations

import math
from dataclasses import replace
from itertools import product
from typing import Any

import curio
import curio.io
import pytest

from sequoiamoor.daemon import route_calls
from sequoiamoor.declaration import parse_declaration
from sequoiamoor.net import http_server
from sequoiamoor.net.events import Events, EventSequence
from sequoiamoor.net.http import Request
from sequoiamoor.net.http_client import ClientConnection
from sequoiamoor.net.http_server import ServerConnection
from sequoiamoor.net.plain_request import parse_plain_request

from ..listener_harness import (
    Close,
    End,
    Hang,
    Repeat,
    Silence,
    Step,
    Until,
    UntilNext,
    chunk,
    parse,
)
from ..route_listener_harness import (
    DECLARATION,
    KEY,
    NOT_RUN,
    STREAM_HEAD,
    RouteListenerHarness,
    answer,
    ask,
    build_route,
    event,
    read_field,
    route_request,
    run,
)

FOREIGN = answer(b"other", request_id="7777")
UNFRAMED_STREAM_HEAD = STREAM_HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")
NOT_RUN_UNNAMED = NOT_RUN.replace(b"X-Attempt-Id: 9c41\r\n", b"")


@pytest.mark.parametrize(
    ("path", "scripts", "status", "body", "requests"),
    [
        ("/look/1", [[answer()]], 200, b"done", 1),
        ("/hold/1", [[answer(status=500)]], 500, b"done", 1),
        ("/hold/1", [[FOREIGN, answer()]], 200, b"done", 1),
        ("/look/1", [[answer(extra=b"")], [answer()]], 200, b"done", 2),
        ("/hold/1", [[answer(extra=b"")]], 502, None, 1),
        ("/hold/1", [[answer(request_id=None)]], 502, None, 1),
        ("/hold/1", [[answer(status=503)]], 502, None, 1),
        ("/hold/1", [[answer(status=429)]], 502, None, 1),
        ("/hold/1", [[b"HTTP/1.1 200", Close()], [answer()]], 502, None, 1),
        ("/hold/1", [[NOT_RUN], [answer()]], 200, b"done", 2),
        ("/hold/1", [[NOT_RUN], [NOT_RUN]], 503, None, 2),
        ("/hold/1", [[NOT_RUN_UNNAMED], [answer()]], 200, b"done", 2),
        ("/hold/1", [[FOREIGN, NOT_RUN_UNNAMED], [answer()]], 502, None, 1),
        ("/hold/1", [[NOT_RUN], [Close(is_reset=True)]], 502, None, 2),
        ("/hold/1", [[Close(is_reset=True)], [answer()]], 502, None, 1),
        ("/look/1", [[Close(is_reset=True)], [answer()]], 200, b"done", 2),
        ("/look/1", [[answer(status=500)], [answer()]], 200, b"done", 2),
        ("/look/1", [[answer(status=500)], [answer(status=500)]], 500, b"done", 2),
        ("/look/1", [[answer(status=500)], [Close(is_reset=True)]], 500, b"done", 2),
        ("/look/1", [[b"nonsense\r\n\r\n"], [answer()]], 200, b"done", 2),
        (
            "/look/1",
            [[answer(extra=b"X-Server-Signature: 1\r\nContent-Encoding: gzip\r\n")],
             [answer()]],
            200, b"done", 2,
        ),
        ("/quick/1", [[Hang()]], 504, None, 1),
    ],
)  # fmt: skip
def test_answers_are_complete_and_failures_are_reported_truthfully(
    path: str, scripts: list[list[Step]], status: int, body: bytes | None, requests: int
) -> None:
    """Guards against answers of other requests, truncated ones and false refusals.

    A refusal is false if it says `was not run` about a request that may have run.
    """

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_replicas(2, *scripts)
        response = await ask(harness, route_request(path))
        assert response.status == status
        if body is not None:
            assert response.body == body
        assert sum(len(upstream.requests) for upstream in harness.upstreams) == requests
        if status == 503:
            assert "retry-after" in response.headers

    run(session)


def use_one_attempt(harness: RouteListenerHarness) -> None:
    routes = {"hold": build_route("/hold/", "once", attempts=1)}
    harness.board.configuration.declaration = parse_declaration(
        {**DECLARATION, "routes": routes}
    )


@pytest.mark.parametrize(
    ("first", "repeat", "second", "status"),
    [
        # Right after the next request was sent: it belongs to no request, or it is not
        # clear to which.
        (NOT_RUN, [UntilNext(), NOT_RUN], [answer(request_id="b")], 200),
        (NOT_RUN, [UntilNext(), NOT_RUN_UNNAMED], [answer(request_id="b")], 502),
        (
            answer(b"", status=421),
            [UntilNext(), answer(b"", status=421, request_id=None)],
            [answer(request_id="b")], 502,
        ),
        # While the connection is idle.
        (NOT_RUN, [Until(b" 503 "), NOT_RUN_UNNAMED], [answer(request_id="b")], 200),
        # Together with the first one.
        (NOT_RUN, [NOT_RUN_UNNAMED], [answer(request_id="b")], 200),
        # Between head and body of the next answer, and between chunks.
        (NOT_RUN, [], [answer(NOT_RUN, request_id="b") + b"done"], 502),
        (
            NOT_RUN, [],
            [STREAM_HEAD.replace(b"9c41", b"b") + chunk(b"do") + NOT_RUN], 502,
        ),
    ],
)  # fmt: skip
def test_repeated_refusal_is_not_taken_for_that_of_the_next_request(
    first: bytes, repeat: list[Step], second: list[Step], status: int
) -> None:
    """Guards against `not run, try again` for a request that a replica is running."""

    async def session(harness: RouteListenerHarness) -> None:
        use_one_attempt(harness)
        upstream = await harness.add_upstream(
            lambda _: [first, *repeat], lambda _: second
        )
        response = await ask(harness, route_request("/hold/1"))
        assert response.status == 503
        await curio.sleep(0.02)
        response = await ask(harness, route_request("/hold/1", request_id="b"))
        assert response.status == status
        assert response.body == b"done" or status != 200
        assert len(upstream.requests) == 2

    run(session)


def test_request_is_not_sent_again_where_its_refusal_may_be_repeated() -> None:
    """Guards against a repeated refusal that has the identifier of the request.

    The only replica refuses the request and runs it when it comes again.
    """

    async def session(harness: RouteListenerHarness) -> None:
        upstream = await harness.add_upstream(
            lambda _: [NOT_RUN, UntilNext(), NOT_RUN], lambda _: [answer()]
        )
        response = await ask(harness, route_request("/hold/1"))
        assert (response.status, response.body) == (200, b"done")
        assert (len(upstream.requests), upstream.connections) == (2, 2)

    run(session, options={"exclusion_time": 0.01})


def test_connections_are_kept_after_refusals() -> None:
    """Guards against a new connection to the replica for each refusal."""

    async def session(harness: RouteListenerHarness) -> None:
        use_one_attempt(harness)
        names = [f"r{number}" for number in range(4)]
        answers = [NOT_RUN.replace(b"9c41", name.encode()) for name in names]
        upstream = await harness.add_upstream(
            *[lambda _, data=data: [data] for data in answers]  # type: ignore[misc]
        )
        for name in names:
            await ask(harness, route_request("/hold/1", request_id=name))
        assert (len(upstream.requests), upstream.connections) == (4, 1)

    run(session)


FAULTS = [LookupError("the organisation was removed"), OSError("not the caller's")]
STRAY = [curio.TaskTimeout("stray"), curio.TimeoutCancellationError("stray")]


@pytest.mark.parametrize(
    ("method", "error"),
    [
        *product(["parse", "find_wait_limit", "wait_start"], FAULTS),
        *product(["accept", "forget"], FAULTS + STRAY),
    ],
)
def test_unexpected_exception_is_answered(
    method: str, error: BaseException, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a connection that a fault of the router ends without an answer.

    An OSError counts as the caller's only if it is one of the caller's connection, and
    a timeout that belongs to no context is no shutdown. A connection ends only if its
    caller was told so.
    """

    def fail(*arguments: object) -> None:
        raise error

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_upstream(lambda _: [answer()])
        target = (
            harness.forwarder._calls
            if method == "parse"
            else harness.forwarder._dispatcher
        )
        monkeypatch.setattr(target, method, fail)
        await harness.add_upstream(lambda _: [answer()])
        caller = await harness.connect()
        await caller.send(route_request("/look/1"))
        if method == "forget":
            # The request was answered before it is forgotten, and the answer did not
            # say that the connection ends.
            await caller.receive_until(b"done")
            assert parse(caller.received).status == 200
            caller.received = b""
            await caller.send(route_request("/look/1"))
            await caller.receive_until(b"done")
            assert parse(caller.received).status == 200
            return
        response = parse(await caller.receive_all())
        assert response.status == 500
        if method != "wait_start":
            assert response.headers["connection"] == "close"
        if method == "accept":
            await harness.wait_for(
                lambda: harness.counter("caller_connections_ended", reason="fault") == 1
            )
        assert harness.counter("callers_gone") == 0
        assert harness.crashes == []

    run(session)


@pytest.mark.parametrize("path", ["/look/1", "/hold/1", "/chat/1"])
def test_answer_that_cannot_be_sent_is_replaced_by_a_failure(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an answer that h11 rejects and that counts as a caller that left.

    A 2xx to CONNECT would begin a tunnel, so h11 takes no body after it.
    """
    monkeypatch.setattr(route_calls, "REFUSED_METHODS", frozenset())
    stream = [STREAM_HEAD, chunk(event(1)), b"0\r\n\r\n"]

    async def session(harness: RouteListenerHarness) -> None:
        (upstream,) = await harness.add_replicas(
            1, stream if path == "/chat/1" else [answer()]
        )
        data = route_request(path).replace(b"POST", b"CONNECT", 1)
        response = parse(await harness.ask(data))
        assert (response.status, response.is_whole) == (502, True)
        assert response.refusal["execution"] == "may have run"
        assert harness.counter("callers_gone") == 0
        assert len(upstream.requests) == 1
        assert harness.board.upstreams.replicas["replica-1"].failures == 0

    run(session)


def test_connection_ends_after_an_answer_that_was_cut_while_it_was_sent() -> None:
    """Guards against a further answer in the place of the rest of this one's body.

    The caller reads nothing until the deadline, so a part of the answer is sent.
    """

    async def session(harness: RouteListenerHarness) -> None:
        scripts = [answer(b"x" * 12_000_000)], [answer(b"second")]
        (upstream,) = await harness.add_replicas(1, *scripts)
        caller = await harness.connect()
        await caller.send(route_request("/hold/1").replace(b"Ms: 3000", b"Ms: 1000"))
        await harness.wait_for(lambda: harness.counter("refusals", code="deadline") > 0)
        await caller.send(route_request("/look/1"))
        response = parse(await caller.receive_all())
        assert (response.status, response.is_whole) == (200, False)
        assert response.body.strip(b"x") == b"" and len(upstream.requests) == 1

    run(session)


@pytest.mark.parametrize(
    "change",
    [{"method": "PUT"}, {"target": b"/look/2"}, {"body": b"{}x"}, {"fields": []}],
)
def test_request_that_h11_reads_differently_is_not_sent(
    change: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a replica that runs what only the plain parser read."""

    def parse_wrongly(data: bytes, **limits: int) -> Request:
        request = parse_plain_request(data, **limits)
        assert request is not None
        return replace(request, **change)

    monkeypatch.setattr(http_server, "parse_plain_request", parse_wrongly)

    async def session(harness: RouteListenerHarness) -> None:
        (upstream,) = await harness.add_replicas(1, [answer()])
        assert (await ask(harness, route_request("/look/1"))).status >= 400
        assert not upstream.requests

    run(session)


@pytest.mark.parametrize("error", [LookupError("gone"), OSError("not the caller's")])
def test_exception_while_a_refusal_is_prepared_is_answered(
    error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a fault that is lost with its task, and the answer with it."""

    def fail(*arguments: object) -> None:
        raise error

    async def session(harness: RouteListenerHarness) -> None:
        harness.add_dead_upstream()
        monkeypatch.setattr(harness.forwarder, "_set_retry_after", fail)
        caller = await harness.connect()
        await caller.send(route_request("/look/1"))
        assert parse(await caller.receive_all()).status == 500
        await caller.close()
        await harness.wait_for(
            lambda: harness.counter("caller_connections_ended", reason="fault") == 1
        )

    run(session)


@pytest.mark.parametrize(
    ("path", "script", "status", "is_whole"),
    [
        ("/look/1", None, 503, True),
        ("/hold/1", None, 503, True),
        ("/look/1", [Hang()], 502, True),
        ("/hold/1", [Hang()], 502, True),
        ("/chat/1", [STREAM_HEAD, chunk(event(1)), Hang()], 200, False),
    ],
)
def test_requests_in_service_when_a_drain_is_cut_short_are_answered(
    path: str, script: list[Step] | None, status: int, is_whole: bool
) -> None:
    """Guards against a shutdown that closes connections of requests it has read."""

    async def session(harness: RouteListenerHarness) -> None:
        if script is None:
            harness.add_dead_upstream()
            harness.board.upstreams.replicas.clear()
        else:
            await harness.add_upstream(lambda _: script)
        caller = await harness.connect()
        await caller.send(route_request(path))
        if path.startswith("/chat/"):
            await caller.receive_until(event(1))
        elif script is None:
            await harness.wait_for(lambda: len(harness.board.queues) == 1)
        else:
            await harness.wait_for(lambda: bool(harness.upstreams[0].requests))
        harness.board.is_leaving = True
        await harness.forwarder.cut("drain-limit")
        response = parse(await caller.receive_all())
        assert (response.status, response.is_whole) == (status, is_whole)
        assert harness.counter("requests_cut", reason="drain-limit") == 1
        # One that begins only now is refused, and not cut off in its turn.
        response = await ask(harness, route_request(path))
        assert (response.status, response.refusal["code"]) == (503, "leaving")
        await harness.wait_idle()

    run(session)


def test_replica_receives_only_permitted_header_fields() -> None:
    """Guards against forged header fields and requests altered in transit."""

    async def session(harness: RouteListenerHarness) -> None:
        upstream = await harness.add_upstream(lambda _: [answer()])
        extra = (
            b"X-Tenant: other\r\nX-Expected-Instance: i-9\r\nKv-From: 10.0.0.1:1/2\r\n"
            b"Authorization: Bearer %b\r\nX-Model: m\r\n" % KEY.encode()
        )
        response = await ask(
            harness, route_request("/keyed/1?q=%20a", extra=extra, body=b"x" * 9)
        )
        assert response.status == 200
        request = upstream.requests[0]
        assert request.startswith(b"POST /keyed/1?q=%20a HTTP/1.1\r\n")
        assert request.endswith(b"\r\n\r\n" + b"x" * 9)
        assert read_field(request, "x-tenant") == "captains"
        assert read_field(request, "x-expected-instance") == "replica-1"
        assert read_field(request, "x-model") == "m"
        assert read_field(request, "authorization") is None
        assert read_field(request, "kv-from") is None
        assert 2_000 < int(read_field(request, "x-deadline-ms") or 0) <= 3_000

    run(session)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (route_request("/none/1"), 404),
        (route_request("/look/1", host="other.example"), 404),
        (route_request("/keyed/1"), 401),
        (route_request("/keyed/1", extra=b"Authorization: Bearer no\r\n"), 401),
        (route_request("/look/1", request_id=""), 400),
        (route_request("/look/1", extra=b"Transfer-Encoding: chunked\r\n"), 400),
        (route_request("/look/1", extra=b"Content-Length: 9\r\n"), 400),
        (route_request("/look/1").replace(b"\r\n", b"\n"), 400),
        (route_request("/look/1").replace(b"POST", b"CONNECT", 1), 405),
        (route_request("/chat/1").replace(b"POST", b"CONNECT", 1), 405),
    ],
)
def test_bad_requests_are_refused_and_not_forwarded(
    request_bytes: bytes, status: int
) -> None:
    """Guards against request smuggling, unknown routes and unknown keys."""

    async def session(harness: RouteListenerHarness) -> None:
        upstream = await harness.add_upstream(lambda _: [answer()])
        response = await ask(harness, request_bytes)
        assert response.status == status
        assert response.refusal["execution"] == "was not run"
        assert upstream.requests == []

    run(session)


def test_keys_are_refused_while_the_store_has_not_confirmed_them() -> None:
    """Guards against a revoked key that works at a router cut off from the store."""

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_upstream(lambda _: [answer()], lambda _: [answer()])
        extra = b"Authorization: Bearer %b\r\n" % KEY.encode()
        assert (
            await ask(harness, route_request("/keyed/1", extra=extra))
        ).status == 503
        assert (await ask(harness, route_request("/look/1"))).status == 200
        harness.freshness.confirm(harness.freshness.read_time())
        assert (
            await ask(harness, route_request("/keyed/1", extra=extra))
        ).status == 200

    run(session, limit=60.0)


def test_router_without_configuration_answers_503() -> None:
    """Guards against a 404 for a route that a starting router does not know yet."""

    async def session(harness: RouteListenerHarness) -> None:
        harness.board.configuration.declaration = None
        assert (await ask(harness, route_request("/look/1"))).status == 503

    run(session)


def test_broken_stream_resumes_at_another_replica_in_the_same_answer() -> None:
    """Guards against a resumed stream with a missing, repeated or truncated event."""

    async def session(harness: RouteListenerHarness) -> None:
        first: list[Step] = [
            STREAM_HEAD,
            chunk(event(1) + event(2)),
            chunk(b"id: 3\nda"),
        ]
        second: list[Step] = [STREAM_HEAD, chunk(event(3) + event(4)), b"0\r\n\r\n"]
        first += [Until(event(2)), Close(is_reset=True)]
        replicas = await harness.add_replicas(2, first, second)
        response = await ask(harness, route_request("/summary/1"))
        assert (response.status, response.is_whole) == (200, True)
        assert response.body == b"".join(event(number) for number in range(1, 5))
        resumed_from = {
            read_field(replica.requests[0], "last-event-id") for replica in replicas
        }
        assert resumed_from == {None, "2"}

    run(session)


@pytest.mark.parametrize(
    "rest",
    [
        Repeat(chunk(b": still here\n\n")),
        Repeat(chunk(b"x")),
        Repeat(b"HTTP/1.1 100 Continue\r\n\r\n"),
    ],
    ids=["comments", "bytes-of-no-event", "no-chunks"],
)
def test_stream_whose_replica_sends_no_more_events_resumes_elsewhere(
    rest: Step,
) -> None:
    """Guards against a stalled stream that lasts until its deadline.

    The replica sends bytes all the time, so the connection is never silent.
    """

    async def session(harness: RouteListenerHarness) -> None:
        first = [STREAM_HEAD, chunk(event(1) + event(2)), Until(event(2)), rest]
        second = [STREAM_HEAD, chunk(event(3)), b"0\r\n\r\n"]
        replicas = await harness.add_replicas(2, first, second)
        response = await ask(harness, route_request("/brief/1"))
        assert (response.status, response.is_whole) == (200, True)
        events = [line for line in response.body.split(b"\n") if b"id: " in line]
        assert events == [b"id: 1", b"id: 2", b"id: 3"]
        while not any(replica.closed_by_router for replica in replicas):
            await curio.sleep(0.005)

    run(session)


@pytest.mark.parametrize("path", ["/chat/1", "/story/1"])
@pytest.mark.parametrize("noise", [b":\n\n" * 20_000, b""], ids=["comments", "events"])
def test_other_tasks_run_while_a_stream_of_small_parts_is_checked(
    path: str, noise: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against replicas that stop the process with tiny events or comments."""
    passes = 0
    lines_by_pass: dict[int, int] = {}
    feed = EventSequence.feed

    def count_lines(sequence: EventSequence, data: bytes) -> Events:
        lines = lines_by_pass.get(passes, 0) + data.count(b"\n")
        lines_by_pass[passes] = lines
        return feed(sequence, data)

    monkeypatch.setattr(EventSequence, "feed", count_lines)

    async def tick() -> None:
        nonlocal passes
        while True:
            passes += 1
            await curio.sleep(0)

    async def session(harness: RouteListenerHarness) -> None:
        ticker = await curio.spawn(tick)
        body = noise + b"".join(b"id: %d\n\n" % number for number in range(1, 5_000))
        await harness.add_replicas(1, [STREAM_HEAD, chunk(body), b"0\r\n\r\n"])
        response = await ask(harness, route_request(path))
        assert response.is_whole
        assert response.body == body
        await ticker.cancel()
        assert max(lines_by_pass.values()) <= 1_024

    run(session)


SILENCE = Silence(1.4)
"""A sound replica may be silent for a second or so and go on."""

REST_OF_STREAM = chunk(event(2)) + b"0\r\n\r\n"
WHOLE_STREAM = event(1) + event(2)
ANSWER_HEAD = answer(b"done").removesuffix(b"done")


@pytest.mark.parametrize(
    ("path", "script", "body"),
    [
        ("/swift/1", [SILENCE, answer()], b"done"),
        ("/swift/1", [ANSWER_HEAD, SILENCE, b"do", SILENCE, b"ne"], b"done"),
        ("/hold/1", [SILENCE, answer()], b"done"),
        ("/hold/1", [ANSWER_HEAD + b"do", SILENCE, b"ne"], b"done"),
        (
            "/chat/1",
            [SILENCE, STREAM_HEAD, chunk(event(1)), SILENCE, REST_OF_STREAM],
            WHOLE_STREAM,
        ),
        (
            "/story/1",
            [SILENCE, STREAM_HEAD, chunk(event(1)), REST_OF_STREAM],
            WHOLE_STREAM,
        ),
        (
            "/story/1",
            [STREAM_HEAD, SILENCE, chunk(event(1)), REST_OF_STREAM],
            WHOLE_STREAM,
        ),
        (
            "/story/1",
            [STREAM_HEAD, chunk(event(1)), SILENCE, REST_OF_STREAM],
            WHOLE_STREAM,
        ),
        (
            "/story/1",
            [
                STREAM_HEAD,
                chunk(event(1)),
                SILENCE,
                chunk(b"id: 2\n"),
                Silence(0.1),
                chunk(b"data: t2\n"),
                Silence(0.1),
                chunk(b"\n") + b"0\r\n\r\n",
            ],
            WHOLE_STREAM,
        ),
    ],
)
def test_silence_of_a_replica_ends_no_attempt(
    path: str, script: list[Step], body: bytes
) -> None:
    """Guards against answers that are cut, or run again, since their replica paused.

    Its connection is open, and its kernel acknowledges all that is sent.
    """

    async def session(harness: RouteListenerHarness) -> None:
        other = [STREAM_HEAD, b"0\r\n\r\n"]
        replicas = await harness.add_replicas(2, script, other)
        response = await ask(harness, route_request(path))
        assert (response.status, response.is_whole) == (200, True)
        assert response.body == body
        assert sum(len(replica.requests) for replica in replicas) == 1
        assert not any(replica.closed_by_router for replica in replicas)

    run(session, options={"upstream_idle_timeout": 0.2})


@pytest.mark.parametrize(
    ("path", "script"),
    [
        ("/swift/1", [Hang()]),
        ("/story/1", [STREAM_HEAD, chunk(event(1)), Hang()]),
    ],
)
def test_silence_of_a_replica_counts_for_the_choice_of_a_replica(
    path: str, script: list[Step]
) -> None:
    """Guards against requests that all go on to a replica that is silent for good."""

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_replicas(1, script)
        caller = await harness.connect()
        await caller.send(route_request(path))
        (replica,) = harness.board.upstreams.replicas.values()
        await harness.wait_for(lambda: replica.outcome_count > 0)
        assert (replica.outcome_count, replica.failure_rate) == (1, 1.0)
        assert harness.upstreams[0].closed_by_router == 0
        # Its own time limit ends the request.
        response = parse(await caller.receive_all())
        assert (response.status, response.is_whole) in ((504, True), (200, False))
        assert replica.outcome_count == 1

    run(session)


@pytest.mark.parametrize(
    "noise",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx",
        b"noise " * 4_000,
    ],
    ids=["informational-responses", "answers-to-others", "no-response"],
)
def test_endless_bytes_in_place_of_a_head_end_the_attempt(noise: bytes) -> None:
    """Guards against a replica in trouble that holds a request until its deadline."""

    async def session(harness: RouteListenerHarness) -> None:
        replicas = await harness.add_replicas(2, [Repeat(noise)], [answer()])
        response = await ask(harness, route_request("/look/1"))
        assert (response.status, response.body) == (200, b"done")
        while not any(replica.closed_by_router for replica in replicas):
            await curio.sleep(0.005)

    run(session)


@pytest.mark.parametrize(
    ("path", "rest"),
    [
        ("/chat/1", [Close(is_reset=True)]),
        ("/chat/1", [Close()]),
        ("/chat/1", [chunk(event(4)), Hang()]),
        ("/chat/1", [chunk(event(2)), Hang()]),
        ("/chat/1", [chunk(b"id: 3\nda"), b"0\r\n\r\n"]),
    ],
)
def test_stream_that_cannot_be_resumed_never_looks_complete(
    path: str, rest: list[Step]
) -> None:
    """Guards against a stream that ends early and looks complete to the caller."""

    async def session(harness: RouteListenerHarness) -> None:
        script = [STREAM_HEAD, chunk(event(1) + event(2)), Until(event(2)), *rest]
        replicas = await harness.add_replicas(2, script, [answer()])
        response = await ask(harness, route_request(path))
        assert not response.is_whole
        assert response.body == event(1) + event(2)
        assert sum(len(replica.requests) for replica in replicas) == 1

    run(session)


@pytest.mark.parametrize("path", ["/hold/1", "/chat/1"])
@pytest.mark.parametrize(
    ("end", "is_whole"),
    [(Close(), True), (Close(is_reset=True), False), (Hang(), False)],
)
def test_answer_without_length_is_valid_only_after_an_orderly_close(
    path: str, end: Step, is_whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a body that a reset or this router cuts, taken for a whole one.

    This router cuts it when the replica acknowledges nothing more.
    """

    def find_unacknowledged_time(connection: ClientConnection, now: float) -> float:
        return 60.0 if connection.bytes_received else 0.0

    monkeypatch.setattr(
        ClientConnection, "find_unacknowledged_time", find_unacknowledged_time
    )

    async def session(harness: RouteListenerHarness) -> None:
        data = event(1) if path == "/chat/1" else b"do"
        script = [UNFRAMED_STREAM_HEAD + data, end]
        await harness.add_upstream(lambda _: script)
        response = await ask(harness, route_request(path))
        if path == "/hold/1":
            assert response.status == (200 if is_whole else 502)
        else:
            assert (response.body, response.is_whole) == (data, is_whole)

    run(session)


@pytest.mark.parametrize("path", ["/look/1", "/chat/1"])
@pytest.mark.parametrize(
    "script",
    [
        [STREAM_HEAD],
        [STREAM_HEAD, chunk(event(1)) + b"0\r\n\r\n"],
        [UNFRAMED_STREAM_HEAD],
        [UNFRAMED_STREAM_HEAD, event(1), Close()],
        [answer(b"").replace(b"Length: 0", b"Length: 9")],
    ],
)
def test_answer_to_head_has_no_body(path: str, script: list[Step]) -> None:
    """Guards against events in the place of the caller's next answer."""

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_replicas(1, script, [answer()])
        caller = await harness.connect()
        await caller.send(route_request(path).replace(b"POST", b"HEAD", 1))
        await caller.receive_until(b"\r\n\r\n")
        await harness.wait_idle()
        await caller.send(route_request("/look/1"))
        received = await caller.receive_until(b"done")
        head, _, rest = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert parse(rest).body == b"done"
        (replica,) = harness.board.upstreams.replicas.values()
        assert replica.failures == 0

    run(session)


@pytest.mark.parametrize("end", [Close(), Close(is_reset=True), End()])
@pytest.mark.parametrize("received", [b"", b": begun\n", b"id: 1\nda"])
def test_stream_without_length_that_ends_before_its_first_event_is_broken(
    received: bytes, end: Step
) -> None:
    """Guards against the end of a replica that looks like an empty answer."""

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_replicas(
            2, [UNFRAMED_STREAM_HEAD + received, end], [answer()]
        )
        response = await ask(harness, route_request("/chat/1"))
        assert response.status == 502

    run(session)


@pytest.mark.parametrize("path", ["/hold/1", "/chat/1"])
@pytest.mark.parametrize("end", [Close(), Close(is_reset=True)])
def test_head_that_breaks_off_at_any_byte_is_no_answer(path: str, end: Step) -> None:
    """Guards against a 200 with an empty body after a replica stopped in its head."""

    async def session(harness: RouteListenerHarness) -> None:
        for head in (STREAM_HEAD, UNFRAMED_STREAM_HEAD, answer(b"")):
            cuts = range(1, len(head))
            scripts = [[head[:cut], end] for cut in cuts]
            (replica,) = await harness.add_replicas(1, *scripts)
            for cut in cuts:
                response = await ask(harness, route_request(path))
                assert response.status == 502, head[:cut]
                (only,) = harness.board.upstreams.replicas.values()
                only.failure_rate = only.outcome_count = 0
            assert len(replica.requests) == len(cuts)
            harness.board.upstreams.replicas.clear()

    run(session)


def test_answer_before_the_body_was_read_does_not_corrupt_later_requests() -> None:
    """Guards against a reused connection on which an earlier body is still unsent.

    The replica would read the next request as the rest of that body.
    """

    async def session(harness: RouteListenerHarness) -> None:
        early = await harness.add_upstream(
            lambda _: [answer()], lambda _: [answer()], lambda _: [answer()]
        )
        for _ in range(2):
            response = await ask(
                harness, route_request("/look/1", body=b"x" * 3_000_000)
            )
            assert response.status == 200
        assert all(request.startswith(b"POST /look/1") for request in early.requests)

    run(session)


@pytest.mark.parametrize("is_begun", [False, True])
def test_disconnect_of_the_caller_cancels_the_attempt(is_begun: bool) -> None:
    """Guards against replicas that work for callers that have disconnected."""

    async def session(harness: RouteListenerHarness) -> None:
        head = [STREAM_HEAD, chunk(event(1))] if is_begun else []
        upstream = await harness.add_upstream(lambda _: [*head, Hang()])
        caller = await harness.connect()
        await caller.send(route_request("/chat/1"))
        if is_begun:
            await caller.receive_until(event(1))
        await harness.wait_for(lambda: bool(upstream.requests))
        await caller.close()
        await harness.wait_for(lambda: upstream.closed_by_router == 1)
        await harness.wait_idle()
        assert harness.counter("callers_gone") == 1

    run(session)


@pytest.mark.parametrize("path", ["/look/1", "/hold/1", "/chat/1"])
@pytest.mark.parametrize("is_waiting", [False, True])
def test_request_that_comes_late_in_a_drain_is_refused_and_not_sent(
    path: str, is_waiting: bool
) -> None:
    """Guards against requests that are passed on and then cut at the end of a drain."""

    async def session(harness: RouteListenerHarness) -> None:
        replicas = await harness.add_replicas(1, [answer()])
        (replica,) = harness.board.upstreams.replicas.values()
        drain = harness.forwarder.drain
        if is_waiting:
            replica.ejected_until = math.inf
        else:
            drain.send_until = 0.0
        caller = await harness.connect()
        await caller.send(route_request(path))
        if is_waiting:
            await harness.wait_for(lambda: len(harness.board.queues) == 1)
            drain.send_until = 0.0
            await harness.forwarder.refuse_unsent()
        received = await caller.receive_until(b'"leaving"')
        assert received.startswith(b"HTTP/1.1 503")
        assert b"was not run" in received
        assert b"retry-after: 0.00\r\n" in received.lower()
        assert not replicas[0].requests

    run(session)


def test_stream_that_has_begun_resumes_late_in_a_drain() -> None:
    """Guards against streams that a drain ends although a replica could go on."""

    async def session(harness: RouteListenerHarness) -> None:
        first = [STREAM_HEAD, chunk(event(1)), Until(event(1)), Close(is_reset=True)]
        second = [STREAM_HEAD, chunk(event(2)), b"0\r\n\r\n"]
        await harness.add_replicas(2, first, second)
        caller = await harness.connect()
        await caller.send(route_request("/summary/1"))
        await harness.wait_for(lambda: any(one.requests for one in harness.upstreams))
        harness.forwarder.drain.send_until = 0.0
        await caller.receive_until(b"0\r\n\r\n")
        assert event(2) in caller.received

    run(session)


def test_leaving_router_answers_with_connection_close() -> None:
    """Guards against callers that keep connections to a router that shuts down."""

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_upstream(lambda _: [answer()])
        harness.board.is_leaving = True
        response = await ask(harness, route_request("/look/1"))
        assert (response.status, response.headers["connection"]) == (200, "close")
        harness.forwarder.drain.refuse_from = 0.0
        response = await ask(harness, route_request("/look/1"))
        assert (response.status, response.headers["connection"]) == (503, "close")

    run(session)


class _SocketWatch:
    """Counts sockets that are closed while a task still waits for them."""

    def __init__(self) -> None:
        self.waiting: set[object] = set()
        self.closed_too_early = 0

    def wrap_wait(self, function: Any) -> Any:
        async def wait(connection: object, *arguments: Any) -> Any:
            self.waiting.add(connection)
            try:
                return await function(connection, *arguments)
            finally:
                self.waiting.discard(connection)

        return wait

    def wrap_close(self, function: Any) -> Any:
        async def close(sock: Any) -> None:
            self.closed_too_early += any(
                connection._sock is sock for connection in self.waiting
            )
            await function(sock)

        return close


@pytest.mark.parametrize(
    ("kind", "wait", "path", "body", "script"),
    [
        (
            ServerConnection, "wait_closed", "/chat/1", b"{}",
            [STREAM_HEAD, chunk(event(1)), Until(event(1)), Close(is_reset=True)],
        ),
        (ClientConnection, "_send_rest", "/hold/1", b"x" * 4_000_000, [answer()]),
    ],
)  # fmt: skip
def test_no_socket_is_closed_while_a_task_waits_for_it(
    kind: Any, wait: str, path: str, body: bytes, script: list[Step],
    monkeypatch: pytest.MonkeyPatch,
) -> None:  # fmt: skip
    """Guards against an event loop that crashes when a descriptor is reused.

    If a socket is closed while a task waits for it, a new socket can get its
    descriptor while the event loop still has the old task registered for it.
    """
    watch = _SocketWatch()
    monkeypatch.setattr(kind, wait, watch.wrap_wait(getattr(kind, wait)))
    monkeypatch.setattr(
        curio.io.Socket, "close", watch.wrap_close(curio.io.Socket.close)
    )

    async def session(harness: RouteListenerHarness) -> None:
        upstream = (await harness.add_replicas(1, script))[0]
        if kind is ClientConnection:
            upstream.reads_bodies = False
        caller = await harness.connect()
        await caller.send(route_request(path, body=body))
        await caller.receive_until(b"\r\n\r\n")
        await harness.wait_idle()
        assert upstream.requests
        assert not watch.closed_too_early

    run(session)


@pytest.mark.parametrize("path", ["/look/1", "/chat/1"])
def test_request_of_a_disconnected_caller_is_not_forwarded(path: str) -> None:
    """Guards against work for callers that disconnected while the loop lagged.

    The request and the close are both in the kernel's buffer before the router reads.
    """

    async def session(harness: RouteListenerHarness) -> None:
        upstream = await harness.add_upstream(lambda _: [answer()])
        caller = await harness.connect()
        caller.sock._socket.send(route_request(path))
        caller.sock._socket.close()
        caller.is_closed = True
        await harness.wait_for(lambda: harness.counter("callers_gone") == 1)
        await harness.wait_for(harness.is_idle)
        assert upstream.requests == []

    run(session)


@pytest.mark.parametrize(
    ("scripts", "counts"),
    [
        ([[STREAM_HEAD, chunk(event(1)), b"0\r\n\r\n"]], None),
        ([[NOT_RUN], [NOT_RUN]], {"begun": 1, "unserved": 1}),
        ([], {"begun": 0, "unserved": 1}),
    ],
)
def test_log_tells_whose_streams_were_not_served(
    scripts: list[list[Step]],
    counts: dict[str, int] | None,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against refusals of which no line tells the organisation and the work."""
    caplog.set_level("INFO")

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_replicas(len(scripts), *scripts)
        harness.forwarder.log_asked_work(0.0, lag=0.0)
        extra = b"X-Prompt-Prefix: 5c1e:800,91bd:410\r\n"
        await ask(harness, route_request("/chat/1", extra=extra))
        harness.forwarder.log_asked_work(1e9, lag=0.25)

    run(session)
    lines = [
        record.__dict__
        for record in caplog.records
        if record.message == "streams were not served"
    ]
    if counts is None:
        assert lines == []
        return
    (line,) = lines
    assert line["lag_ms"] == 250
    (work,) = line["organisations"].values()
    assert work == {
        "asked": 1,
        "asked_tokens": 1_210,
        "begun_tokens": 1_210 * counts["begun"],
        **counts,
    }
