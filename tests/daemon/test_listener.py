"""Tests of caller connections: malformed requests, limits, refusals, disconnects."""

from __future__ import annotations

import logging
import socket
import time
from typing import Any

import curio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sequoiamoor.core.upstreams import Upstreams
from sequoiamoor.daemon.sink import CallerSink
from sequoiamoor.net.http_client import RESET_ON_CLOSE
from sequoiamoor.net.http_server import ServerConnection
from sequoiamoor.types import CallRequest
from tests.listener_harness import (
    Hang,
    ListenerHarness,
    Until,
    chunk,
    complete_response,
    events,
    parse,
    read_call_id,
    request,
    run,
    stream_head,
    token,
)

from ..route_listener_harness import route_request
from ..route_listener_harness import run as run_routes

HEAD = (
    b"POST /v1/services/talk/calls HTTP/1.1\r\nHost: r\r\nX-Organisation: a\r\n"
    b"X-Class: chat\r\n"
)


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (
            HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            "request-malformed",
        ),
        (
            HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n{}",
            400,
            "request-malformed",
        ),
        (
            HEAD + b"Transfer-Encoding: chunked\r\nContent-Length : 2\r\n\r\n{}",
            400,
            "request-malformed",
        ),
        (
            HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            400,
            "request-malformed",
        ),
        (
            HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
            400,
            "request-malformed",
        ),
        (HEAD + b"Content-Length: +2\r\n\r\n{}", 400, "request-malformed"),
        (HEAD + b"Content-Length: -2\r\n\r\n{}", 400, "request-malformed"),
        (HEAD + b"X-Note: a\r\n b\r\n\r\n", 400, "request-malformed"),
        (HEAD + b"X-Note: a\r\n\tb\r\n\r\n", 400, "request-malformed"),
        (HEAD + b"X-Note: a\n b\n\n", 400, "request-malformed"),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
            "request-malformed",
        ),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n-2\r\n{}\r\n",
            400,
            "request-malformed",
        ),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}XX0\r\n\r\n",
            400,
            "request-malformed",
        ),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 30 + b"\r\n",
            400,
            "request-malformed",
        ),
        (HEAD + b"Bad Name: x\r\n\r\n", 400, "request-malformed"),
        (HEAD + b"X-Note: a\x00b\r\n\r\n", 400, "request-malformed"),
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400, "request-malformed"),
        (b"GET /v1\r\n\r\n", 400, "request-malformed"),
        (
            HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\n",
            400,
            "request-malformed",
        ),
        (HEAD + b"X-Note: " + b"x" * 2_000 + b"\r\n\r\n", 431, "headers-too-large"),
        (HEAD + b"X-Note: " + b"x" * 2_000, 431, "headers-too-large"),
        (HEAD + b"Content-Length: 2000000\r\n\r\n", 413, "body-too-large"),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n80\r\n" + b"x" * 128 + b"\r\n",
            413,
            "body-too-large",
        ),
        (
            HEAD + b"Expect: 100-continue\r\nContent-Length: 101\r\n\r\n" + b"x" * 101,
            413,
            "body-too-large",
        ),
    ],
)
def test_malformed_request_gets_readable_refusal(
    data: bytes, status: int, code: str
) -> None:
    """Guards against a reset, a wrong status, or an ambiguous request let through."""

    async def session(harness: ListenerHarness) -> None:
        caller = await harness.connect()
        # More data follows the request than is read at once: closing a connection with
        # unread data resets it, and the caller could lose the refusal.
        await caller.send(data + b"x" * 300_000)
        response = parse(await caller.receive_all())
        assert not caller.is_reset
        assert (response.status, response.refusal["code"]) == (status, code)
        assert response.refusal["execution"] == "was not run"
        assert response.is_whole and response.rest == b""
        assert response.headers["connection"] == "close"
        assert harness.counter("refusals", code=code) == 1
        await harness.wait_idle()

    run(session, limits={"header_bytes": 1_024, "body_bytes": 100})


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (request(organisation="nobody"), 403, "organisation-unknown"),
        (request(organisation="a\u00e9"), 403, "organisation-unknown"),
        (
            request(extra=b"X-Organisation: b\r\n"),
            403,
            "organisation-unknown",
        ),
        (request(class_name="slow"), 400, "class-unknown"),
        (request(class_name="\u00ff"), 400, "class-unknown"),
        (request("none"), 404, "service-unknown"),
        (request("%ff"), 404, "service-unknown"),
        (request(extra=b"X-Prefix-Key: \xff\xfe\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Prefix-Key: a b\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Prefix-Key:\r\n"), 400, "request-malformed"),
        (request(extra=b"Content-Type: \xff\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Request-Id: \xe9\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Request-Id: a b\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Cost-Hint: nan\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Cost-Hint: 1e400\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Cost-Hint: \xb2\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Cost-Hint: 1_0\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Deadline-Ms: 0\r\n"), 400, "request-malformed"),
        (request(extra=b"X-Deadline-Ms: -5\r\n"), 400, "request-malformed"),
        (b"GET /v1/services/talk/calls HTTP/1.1\r\nHost: r\r\n\r\n", 405, None),
        (b"HEAD /v1/services/talk/calls HTTP/1.1\r\nHost: r\r\n\r\n", 405, None),
        (b"GET /\xff HTTP/1.1\r\nHost: r\r\n\r\n", 400, "request-malformed"),
        (b"GET /none HTTP/1.1\r\nHost: r\r\n\r\n", 404, "not-found"),
        (b"CONNECT r:1 HTTP/1.1\r\nHost: r\r\n\r\n", 404, "not-found"),
        (
            b"GET /none HTTP/1.1\r\nHost: r\r\nUpgrade: h2c\r\n"
            b"Connection: upgrade\r\n\r\n",
            404,
            "not-found",
        ),
    ],
)
def test_wrong_value_is_refused(data: bytes, status: int, code: str | None) -> None:
    """Guards against unhandled exceptions and wrong values that are interpreted."""

    async def session(harness: ListenerHarness) -> None:
        caller = await harness.connect()
        await caller.send(data)
        await caller.receive_until(b"\r\n\r\n")
        await caller.sock.shutdown(1)
        received = await caller.receive_all()
        assert received.startswith(b"HTTP/1.1 %d " % status)
        if code is not None:
            assert parse(received).refusal["code"] == code
        await harness.wait_idle()

    run(session)


VALID = request(
    extra=b"X-Request-Id: q-1\r\nX-Cost-Hint: 5\r\nX-Prefix-Key: k\r\n", body=b"{}"
)
CHUNKED = VALID.replace(b"Content-Length: 2\r\n\r\n{}", b"") + (
    b"Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n"
)
EDITS = st.lists(
    st.tuples(
        st.integers(0, len(CHUNKED)),
        st.integers(0, 12),
        st.one_of(
            st.binary(max_size=4),
            st.sampled_from([b"\r\n", b"\n", b" ", b":", b"\x00", b"\xff", b",", b"0"]),
        ),
    ),
    min_size=1,
    max_size=4,
)


@settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    data=st.sampled_from([VALID, CHUNKED]),
    edits=EDITS,
    cuts=st.lists(st.integers(0, 300), max_size=3),
)
def test_damaged_request_gets_a_response_or_a_close(
    data: bytes, edits: list[tuple[int, int, bytes]], cuts: list[int]
) -> None:
    """Guards against unhandled exceptions and partial responses for any input."""
    for place, removed, added in edits:
        data = data[:place] + added + data[place + removed :]

    async def session(harness: ListenerHarness) -> None:
        def answer(received: bytes) -> list[bytes]:
            call_id = read_call_id(received)
            parts = events(call_id, 1)
            return [stream_head(call_id) + b"".join(map(chunk, parts)) + b"0\r\n\r\n"]

        await harness.add_upstream(*[answer] * 9)
        caller = await harness.connect()
        places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        for begin, end in zip(places, places[1:], strict=False):
            await caller.send(data[begin:end])
            await curio.sleep(0)
        # An incomplete request is refused or its connection closed after the timeouts.
        received = await caller.receive_all()
        while received:
            if received.startswith(b"HTTP/1.1 100 "):
                received = received.partition(b"\r\n\r\n")[2]
                continue
            if data[:4] == b"HEAD":
                break
            response = parse(received)
            assert response.is_whole
            if response.status >= 400:
                assert response.refusal["execution"] == "was not run"
            received = response.rest
        await harness.wait_idle()

    run(session, limits={"receive_timeout": 0.03, "idle_timeout": 0.03})


def test_unexpected_exception_becomes_a_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a close without response, or a false `was not run`.

    An unexpected exception occurs after the upstream has answered.
    """

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(
            lambda received: [complete_response(read_call_id(received), b"{}")],
            service="look",
        )

        def fail(replica_id: str) -> None:
            raise RuntimeError("fault")

        monkeypatch.setattr(Upstreams, "record_success", lambda self, name: fail(name))
        caller = await harness.connect()
        await caller.send(request("look", stream=False))
        response = parse(await caller.receive_until(b"}\n"))
        assert (response.status, response.refusal["code"]) == (500, "internal")
        assert response.refusal["execution"] == "may have run"
        await harness.wait_idle()

    run(session)


def test_refused_request_leaves_connection_usable() -> None:
    """Guards against a refusal of a well-formed request that ends keep-alive."""

    async def session(harness: ListenerHarness) -> None:
        caller = await harness.connect()
        await caller.send(request(organisation="nobody") + request("none"))
        await caller.receive_until(b"service-unknown")
        assert b"organisation-unknown" in caller.received

    run(session)


def test_slow_sender_is_refused() -> None:
    """Guards against a slow sender that occupies a connection indefinitely."""

    async def session(harness: ListenerHarness) -> None:
        response = parse(await harness.ask(request()[:-1]))
        assert (response.status, response.refusal["code"]) == (408, "request-timeout")
        assert harness.counter("refusals", code="request-timeout") == 1

    run(session, limits={"receive_timeout": 0.05})


def test_slow_sender_is_refused_by_a_late_event_loop() -> None:
    """Guards against a slow sender whose bytes extend the time for its request.

    Each pass of the event loop is late, and another byte has arrived at its poll.
    """

    async def session(harness: ListenerHarness) -> None:
        data = request("none", body=b"x" * 100)
        caller = await harness.connect()
        await caller.send(data[:-100])
        for _ in range(99):
            await caller.send(b"x")
            time.sleep(0.005)
            await curio.sleep(0)
        await caller.send(b"x")
        received = await caller.receive_until(b"\r\n\r\n")
        assert received.startswith(b"HTTP/1.1 408 ")

    run(session, limits={"receive_timeout": 0.05})


@pytest.mark.parametrize("split", [0, 10, 400], ids=["whole", "head", "body"])
def test_request_that_arrives_as_a_timer_fires_is_answered(split: int) -> None:
    """Guards against a late event loop that closes a connection with a request in it.

    The timers of the idle connection and of the incomplete request are noticed before
    the request arrives, but the connection's task runs after that.
    """

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(
            *[lambda received: [complete_response(read_call_id(received), b"{}")]] * 2,
            service="look",
        )
        body = b"x" * 600
        caller = await harness.connect()
        await caller.send(request("look", stream=False, body=body))
        await caller.receive_until(b"{}")
        await harness.wait_idle()
        caller.received = b""
        second = request("look", stream=False, body=body)
        await caller.send(second[:split])
        # The connection's task gets to its wait.
        await curio.sleep(0.01)
        time.sleep(0.1)
        await curio.sleep(0)
        await caller.send(second[split:])
        await caller.receive_until(b"{}")
        assert parse(caller.received).status == 200
        assert harness.counter("caller_connections_ended", reason="idle") == 0

    run(session, limits={"idle_timeout": 0.05, "receive_timeout": 0.05})


def test_request_that_lies_unread_at_the_end_of_a_drain_is_answered() -> None:
    """Guards against a router that ends with requests in the sockets of its callers.

    The event loop is late, so nothing has read the request when the drain is over.
    """

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(
            lambda received: [complete_response(read_call_id(received), b"{}")],
            service="look",
        )
        caller = await harness.connect()
        await caller.send(request("look", stream=False))
        await caller.receive_until(b"{}")
        await harness.wait_idle()
        harness.board.is_leaving = True
        await caller.send(request("look", stream=False))
        await harness.listener.wait_until_read(1.0)
        # Sent by now, since the connection's task may be cancelled next.
        assert b'"code": "leaving"' in caller.sock._socket.recv(65_536)
        started_at = time.monotonic()
        await harness.listener.wait_until_read(1.0)
        assert time.monotonic() - started_at < 0.5

    run(session)


def test_request_after_an_idle_close_is_not_read() -> None:
    """Guards against a request that is read and dropped after an idle connection ends.

    Reading it would hide from its caller that it never ran.
    """

    async def session(harness: ListenerHarness) -> None:
        caller = await harness.connect()
        await caller.send(request("none"))
        await caller.receive_until(b"service-unknown")
        await caller.receive_all()
        await caller.send(request("none"))
        await harness.wait_for(
            lambda: harness.counter("caller_connections_ended", reason="idle") == 1
        )
        assert harness.counter("caller_connections_cut", reason="idle") == 0

    run(session, limits={"idle_timeout": 0.05})


def test_idle_connection_is_closed() -> None:
    """Guards against idle connections that are kept indefinitely."""

    async def session(harness: ListenerHarness) -> None:
        assert await harness.ask() == b""

    run(session, limits={"idle_timeout": 0.05})


def test_connection_over_limit_is_refused_until_one_closes() -> None:
    """Guards against unbounded connections and a connection count that leaks."""

    async def session(harness: ListenerHarness) -> None:
        first = await harness.connect()
        await curio.sleep(0)
        second = await harness.connect()
        await second.send(request())
        response = parse(await second.receive_all())
        assert (response.status, response.refusal["code"]) == (
            503,
            "too-many-connections",
        )
        assert harness.counter("refusals", code="too-many-connections") == 1
        await first.close()
        await second.close()
        await harness.wait_for(lambda: harness.listener._connections == 0)
        third = await harness.connect()
        await third.send(b"GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n")
        assert b"200" in await third.receive_until(b"ok\n")

    run(session, limits={"connections": 1})


def test_full_queue_is_refused_for_its_organisation_only() -> None:
    """Guards against an unbounded queue, and a full one that blocks others."""

    async def session(harness: ListenerHarness) -> None:
        first = await harness.connect()
        await first.send(request())
        await harness.wait_for(lambda: len(harness.board.queues) == 1)
        second = await harness.connect()
        await second.send(request())
        received = await second.receive_until(b"queue-full")
        assert received.startswith(b"HTTP/1.1 429 ") and b"retry-after: 1" in received
        assert harness.counter("refusals", code="queue-full") == 1
        other = await harness.connect()
        await other.send(request(organisation="b"))
        await harness.wait_for(lambda: len(harness.board.queues) == 2)

    run(session, options={"queue_limit_per_organisation": 1})


def test_disconnect_while_waiting_removes_the_queue_entry() -> None:
    """Guards against queue entries of callers that have disconnected."""

    async def session(harness: ListenerHarness) -> None:
        caller = await harness.connect()
        await caller.send(request())
        await harness.wait_for(lambda: len(harness.board.queues) == 1)
        await caller.close()
        await harness.wait_for(lambda: harness.listener._connections == 0)
        await harness.wait_idle()
        assert harness.counter("callers_gone") == 1

    run(session)


def test_slot_given_during_the_disconnect_of_the_caller_is_freed() -> None:
    """Guards against a slot that leaks if a call starts as its caller disconnects.

    Both happen in one pass of the event loop.
    """

    async def session(harness: ListenerHarness) -> None:
        now = time.monotonic()
        call = CallRequest("c", "r", "a", "chat", "talk", now, now + 1, now + 9, b"")
        harness.calls.accept(call)
        await harness.add_upstream()
        await harness.calls.dispatch("talk")
        replica = harness.board.upstreams.replicas["replica-1"]
        assert replica.in_use == 1
        await harness.calls.forget(call)
        assert replica.in_use == 0 and harness.is_idle()

    run(session)


@pytest.mark.parametrize("is_begun", [False, True])
def test_disconnect_of_the_caller_frees_slot_and_cancels_upstream(
    is_begun: bool,
) -> None:
    """Guards against work and slots for callers that have disconnected."""

    async def session(harness: ListenerHarness) -> None:
        head = stream_head("call-1") + chunk(events("call-1", 1)[0])
        script = [head, Hang()] if is_begun else [Hang()]
        upstream = await harness.add_upstream(lambda _: script)
        caller = await harness.connect()
        await caller.send(request())
        if is_begun:
            await caller.receive_until(b"event: start")
        await harness.wait_for(lambda: len(upstream.requests) == 1)
        await caller.close()
        await harness.wait_for(lambda: upstream.closed_by_router == 1)
        await harness.wait_for(lambda: harness.listener._connections == 0)
        await harness.wait_idle()
        assert harness.counter("attempts_cancelled") == 1
        replica = harness.board.upstreams.replicas["replica-1"]
        assert replica.failures == 0

    run(session)


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("is_route", [False, True])
@pytest.mark.parametrize("has_replica", [False, True])
@pytest.mark.parametrize("end", ["half-closed", "closed", "reset"])
def test_caller_that_leaves_is_refused_and_told_from_a_failed_connection(
    end: str, has_replica: bool, is_route: bool, is_late: bool, caplog: Any
) -> None:
    """Guards against a half-closed caller without an answer, and miscounted failures.

    On a late event loop, the end is there before the request is read.
    """
    caplog.set_level(logging.INFO)
    expected = {
        503: ("caller-closed", "was not run"),
        502: ("caller-closed-late", "may have run"),
    }

    async def session(harness: ListenerHarness) -> None:
        scripts = [lambda _: [Hang()]] * has_replica
        upstreams = [await harness.add_upstream(it) for it in scripts]
        caller = await harness.connect()
        sock = caller.sock._socket
        sock.send(route_request("/look/1") if is_route else request())
        if not is_late:
            queues = harness.board.queues
            await harness.wait_for(
                lambda: any(it.requests for it in upstreams) or len(queues) > 0
            )
        if end == "half-closed":
            sock.shutdown(socket.SHUT_WR)
            response = parse(await caller.receive_all())
            assert not caller.is_reset and response.is_whole
            assert is_late or response.status == (502 if has_replica else 503)
            told = (response.refusal["code"], response.refusal["execution"])
            assert told == expected[response.status]
            await harness.wait_idle()
            assert response.status == 502 or not any(it.requests for it in upstreams)
        else:
            if end == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
            caller.is_closed = True
        await harness.wait_for(lambda: harness.counter("callers_gone") == 1)
        await harness.wait_for(lambda: harness.listener._connections == 0)
        await harness.wait_idle()
        assert harness.counter("callers_gone") == 1
        is_lost = end == "reset"
        reason = "lost" if is_lost else "peer-closed"
        assert harness.counter("caller_connections_ended", reason=reason) == 1
        assert harness.counter("caller_connections_cut", reason=reason) == is_lost
        assert (
            harness.counter("caller_connections_failed", error="ECONNRESET") == is_lost
        )
        line = next(it for it in caplog.records if it.message == "caller disconnected")
        told = vars(line)["reason"], vars(line)["error"]
        assert told == (("failed", "ECONNRESET") if is_lost else ("closed", None))

    (run_routes if is_route else run)(session)


@pytest.mark.parametrize("is_route", [False, True])
@pytest.mark.parametrize("has_started", [False, True])
@pytest.mark.parametrize(
    ("target", "error"),
    [
        ("wait_closed", RuntimeError("received close, then received more data?")),
        ("wait_closed", curio.ReadResourceBusy("another task waits")),
        ("wait_closed", curio.TaskTimeout("stray")),
        ("_serve", curio.TaskTimeout("stray")),
        ("_serve", curio.TimeoutCancellationError("stray")),
        ("_serve", None),
    ],
)
def test_request_is_answered_however_a_task_of_it_ends(
    target: str, error: Any, has_started: bool, is_route: bool, monkeypatch: Any
) -> None:
    """Guards against a request whose task ends and leaves neither answer nor line."""

    async def end(*arguments: object) -> None:
        if has_started:
            await curio.sleep(0.01)
        if error is not None:
            raise error

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(lambda _: [Hang()])
        kind = ServerConnection if target == "wait_closed" else type(harness.calls)
        monkeypatch.setattr(kind, target, end)
        response = parse(
            await harness.ask(route_request("/look/1") if is_route else request())
        )
        refusal = response.refusal
        told = (response.status, refusal["code"], refusal["execution"])
        assert told == (500, "internal", "may have run")
        assert harness.counter("callers_gone") == 0
        await harness.wait_for(
            lambda: harness.counter("caller_connections_ended", reason="fault") == 1
        )

    (run_routes if is_route else run)(session)


@pytest.mark.parametrize("stream", [False, True])
def test_head_that_cannot_be_sent_is_replaced_by_a_failure(
    stream: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a head that h11 rejects and that counts as a caller that left."""
    monkeypatch.setattr(CallerSink, "_build_headers", lambda *_: {"a b": "c"})
    service = "talk" if stream else "look"
    streamed = stream_head("call-1") + chunk(events("call-1", 1)[0])
    script = [streamed if stream else complete_response("call-1", b"{}")]

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(lambda _: script, service=service)
        caller = await harness.connect()
        await caller.send(request(service, stream=stream))
        response = parse(await caller.receive_until(b"}"))
        assert (response.status, response.refusal["code"]) == (500, "internal")
        assert harness.counter("callers_gone") == 0
        await harness.wait_idle()

    run(session)


def test_caller_that_does_not_read_is_disconnected() -> None:
    """Guards against a slot held by a caller that does not read.

    The timeout must not count as a failure of the replica either.
    """

    async def session(harness: ListenerHarness) -> None:
        def answer(received: bytes) -> list[bytes | Hang]:
            call_id = read_call_id(received).encode()
            text = b"x" * 60_000
            tokens = [
                chunk(b'data: {"id":"%b","i":%d,"t":"%b"}\n\n' % (call_id, index, text))
                for index in range(200)
            ]
            start = chunk(events(call_id.decode(), 0)[0])
            return [stream_head(call_id.decode()), start, *tokens, Hang()]

        await harness.add_upstream(answer)
        caller = await harness.connect()
        await caller.send(request())
        await harness.wait_for(lambda: harness.counter("callers_slow") == 1)
        await harness.wait_for(lambda: harness.listener._connections == 0)
        await harness.wait_idle()
        assert harness.board.upstreams.replicas["replica-1"].failures == 0
        assert not parse(await caller.receive_all()).is_whole

    run(session, limits={"send_timeout": 0.1})


@pytest.mark.parametrize("pause", [0.0, 1.5])
def test_caller_that_reads_slowly_gets_the_whole_answer(pause: float) -> None:
    """Guards against a send timeout for the whole answer instead of each send.

    A process that was paused for longer than the timeout finds the timer expired, and
    the caller has read meanwhile.
    """

    async def session(harness: ListenerHarness) -> None:
        body = b"x" * 12_000_000 + b"END"
        await harness.add_upstream(
            lambda received: [complete_response(read_call_id(received), body)],
            service="look",
        )
        caller = await harness.connect()
        await caller.send(request("look", stream=False))
        # Longer than the timeout in total, shorter from one read to the next.
        for number in range(24):
            await caller.receive()
            if number == 8:
                time.sleep(pause)
            await curio.sleep(0.05)
        response = parse(await caller.receive_until(b"END"))
        assert response.is_whole and response.body == body

    run(session, limits={"send_timeout": 1.0})


def test_pipelined_requests_are_answered_in_order() -> None:
    """Guards against a pipelined request that is lost or taken for a disconnect."""

    async def session(harness: ListenerHarness) -> None:
        def answer(received: bytes) -> list[bytes]:
            call_id = read_call_id(received)
            return [complete_response(call_id, b'{"call":"%b"}' % call_id.encode())]

        await harness.add_upstream(answer, answer, service="look")
        caller = await harness.connect()
        await caller.send(request("look", stream=False) * 2)
        response = parse(await caller.receive_until(b'{"call":"call-2"}'))
        assert response.body == b'{"call":"call-1"}'
        assert parse(response.rest).body == b'{"call":"call-2"}'

    run(session)


def test_large_pipelined_request_does_not_end_the_current_call() -> None:
    """Guards against a pipelined request that is taken for a disconnect.

    It is larger than what is buffered while the current call runs.
    """

    async def session(harness: ListenerHarness) -> None:
        def answer(received: bytes) -> list[bytes | Until]:
            # Waits until the other caller has received its page.
            return [
                Until(b"ok\n"),
                complete_response(read_call_id(received), b'{"n":1}'),
            ]

        upstream = await harness.add_upstream(answer, answer, service="look")
        caller = await harness.connect()
        await caller.send(request("look", stream=False))
        await harness.wait_for(lambda: len(upstream.requests) == 1)
        await caller.send(request("look", stream=False, body=b"x" * 200_000))
        other = await harness.connect()
        await other.send(b"GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n")
        await other.receive_until(b"ok\n")
        await caller.receive_until(b"x-call-id: call-2\r\n")
        assert caller.received.count(b"HTTP/1.1 200 ") == 2
        assert upstream.requests[1].endswith(b"x" * 200_000)

    run(session)


def test_token_is_forwarded_before_the_next_one_arrives() -> None:
    """Guards against tokens that are buffered until more arrive."""

    async def session(harness: ListenerHarness) -> None:
        start, first, second, end = events("call-1", 2)
        script = [
            stream_head("call-1") + chunk(start),
            Until(start),
            # A chunk with a whole event and a part of the next one.
            chunk(first + second[:9])[:-2],
            Until(token("call-1", 0)),
            b"\r\n" + chunk(second[9:]),
            Until(second),
            chunk(end) + b"0\r\n\r\n",
        ]
        await harness.add_upstream(lambda _: script)
        caller = await harness.connect()
        await caller.send(request())
        response = parse(await caller.receive_until(b"0\r\n\r\n"))
        assert response.body == start + first + second + end and response.is_whole

    run(session)


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_pages_answer(method: bytes) -> None:
    """Guards against a body in the response to HEAD and against a missing page."""

    async def session(harness: ListenerHarness) -> None:
        caller = await harness.connect()
        await caller.send(method + b" /readyz HTTP/1.1\r\nHost: r\r\n\r\n")
        await caller.receive_until(b"\r\n\r\n")
        await caller.sock.shutdown(1)
        received = await caller.receive_all()
        assert received.startswith(b"HTTP/1.1 200 ")
        assert received.endswith(b"ready\n") == (method == b"GET")

    run(session)


def test_listener_is_crowded_before_connections_are_refused() -> None:
    """Guards against a router that is ready until it refuses connections.

    The load balancer needs time to stop sending new ones.
    """

    async def session(harness: ListenerHarness) -> None:
        callers = [await harness.connect() for _ in range(4)]
        await harness.wait_for(lambda: harness.listener._connections == 4)
        assert not harness.listener.is_crowded
        callers.append(await harness.connect())
        await harness.wait_for(lambda: harness.listener._connections == 5)
        assert harness.listener.is_crowded

    run(session, limits={"connections": 5})
