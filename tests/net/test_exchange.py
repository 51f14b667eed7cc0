"""Tests of attempts: execution values, retries, resumption and connection reuse."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import curio
import pytest

from sequoiamoor.types import Address
from tests.listener_harness import (
    Answerer,
    Close,
    Hang,
    ListenerHarness,
    Step,
    Until,
    UntilNext,
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

START, T0, T1, T2, END = events("call-1", 3)


def script(*steps: Step) -> Answerer:
    return lambda _: steps


def answer_stream(received: bytes) -> list[Step]:
    """Answers as an engine does, from X-Resume-From on."""
    call_id = read_call_id(received)
    first = 0
    for line in received.split(b"\r\n"):
        if line.lower().startswith(b"x-resume-from: "):
            first = int(line.split(b" ")[1])
    parts = events(call_id, 3, first=first)
    return [stream_head(call_id) + b"".join(map(chunk, parts)) + b"0\r\n\r\n"]


def answer_call(received: bytes) -> list[Step]:
    return [complete_response(read_call_id(received), b"{}")]


NOT_RUN = b'{"code":"busy","execution":"was not run"}'
FAILURES: list[tuple[str, Sequence[Step], str, str]] = [
    # name, what the upstream does with the request, code, execution
    ("closes before a byte", [Close()], "answer-incomplete", "may have run"),
    ("resets", [Close(is_reset=True)], "answer-incomplete", "may have run"),
    ("is silent", [Hang()], "answer-incomplete", "may have run"),
    ("no protocol", [b"hello\r\n\r\n", Hang()], "answer-incomplete", "may have run"),
    (
        "truncated body",
        [complete_response("call-1", b"{}" * 50)[:-3], Close()],
        "answer-incomplete",
        "may have run",
    ),
    (
        "other call",
        [complete_response("call-9", b"{}")],
        "answer-mismatch",
        "may have run",
    ),
    (
        "two identifiers",
        [complete_response("call-1", b"{}", extra=b"X-Call-Id: call-9\r\n")],
        "answer-mismatch",
        "may have run",
    ),
    (
        "no length",
        [b"HTTP/1.1 200 OK\r\nX-Call-Id: call-1\r\n\r\n{}", Close()],
        "answer-mismatch",
        "may have run",
    ),
    (
        "fails",
        [complete_response("call-1", b"{}", status=500)],
        "upstream-failed",
        "may have run",
    ),
    (
        "fails without identifier",
        [b"HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n"],
        "upstream-failed",
        "may have run",
    ),
    (
        "redirects",
        [complete_response("call-1", b"", status=302)],
        "upstream-failed",
        "may have run",
    ),
    (
        "is busy without a statement",
        [complete_response("call-1", b"{}", status=503)],
        "upstream-failed",
        "may have run",
    ),
    (
        "states that it did not run",
        [complete_response("call-1", NOT_RUN, status=503)],
        "upstream-refused",
        "was not run",
    ),
    (
        "states with 429 that it did not run",
        [complete_response("call-1", NOT_RUN, status=429)],
        "upstream-refused",
        "was not run",
    ),
    (
        "states it for another call",
        [complete_response("call-9", NOT_RUN, status=503)],
        "answer-mismatch",
        "may have run",
    ),
    (
        "too large",
        [complete_response("call-1", b"x" * 2_000)],
        "answer-incomplete",
        "may have run",
    ),
]


@pytest.mark.parametrize(
    ("steps", "code", "execution"),
    [pytest.param(*row[1:], id=row[0]) for row in FAILURES],
)
def test_execution_of_one_failed_attempt(
    steps: Sequence[Step], code: str, execution: str
) -> None:
    """Guards against `was not run`, or a second attempt, for a request that was sent.

    The service is not repeatable, so after a sent request no other replica may run it.
    """

    async def session(harness: ListenerHarness) -> None:
        upstreams = [
            await harness.add_upstream(script(*steps), service="desk") for _ in range(2)
        ]
        caller = await harness.connect()
        await caller.send(request("desk", stream=False))
        response = parse(await caller.receive_until(b"}\n"))
        assert response.is_whole
        assert (response.refusal["code"], response.refusal["execution"]) == (
            code,
            execution,
        )
        assert response.refusal["request_id"] == "call-1"
        assert sum(len(upstream.requests) for upstream in upstreams) == 1
        # Only a failed connection counts as a failure of the replica.
        failures = [
            replica.failures for replica in harness.board.upstreams.replicas.values()
        ]
        assert sum(failures) == (code == "answer-incomplete")
        await harness.wait_idle()

    run(session, options={"upstream_idle_timeout": 0.5, "answer_limit_bytes": 1_000})


def test_unreachable_replicas_mean_was_not_run() -> None:
    """Guards against `may have run` for a call of which no byte was sent."""

    async def session(harness: ListenerHarness) -> None:
        replica_ids = [harness.add_dead_upstream("desk") for _ in range(2)]
        response = parse(await _ask(harness, request("desk", stream=False), b"}\n"))
        assert response.refusal["execution"] == "was not run"
        replicas = harness.board.upstreams.replicas
        assert all(replicas[replica_id].failures for replica_id in replica_ids)

    run(session, options={"max_attempts": 2})


def test_call_that_must_run_once_is_retried_after_an_unsent_attempt() -> None:
    """Guards against a refusal while another replica can serve the call."""

    async def session(harness: ListenerHarness) -> None:
        harness.add_dead_upstream("desk")
        await harness.add_upstream(answer_call, answer_call, service="desk")
        for _ in range(2):
            response = parse(await _ask(harness, request("desk", stream=False), b"{}"))
            assert response.status == 200

    run(session)


@pytest.mark.parametrize("service", ["desk", "look"])
def test_unreachable_replicas_do_not_use_up_the_attempts(service: str) -> None:
    """Guards against a refusal because a partition cuts off most replicas."""

    async def session(harness: ListenerHarness) -> None:
        for _ in range(4):
            harness.add_dead_upstream(service)
        await harness.add_upstream(answer_call, service=service)
        response = parse(await _ask(harness, request(service, stream=False), b"{}"))
        assert response.status == 200
        await harness.wait_idle()

    run(session)


async def _ask(harness: ListenerHarness, data: bytes, marker: bytes) -> bytes:
    caller = await harness.connect()
    await caller.send(data)
    return await caller.receive_until(marker)


def test_wait_limit_after_sent_attempt_is_may_have_run() -> None:
    """Guards against `was not run` in the refusal of a call that was sent earlier."""

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(script(Close()), service="look")
        data = request("look", stream=False, class_name="quick")
        response = parse(await _ask(harness, data, b"}\n"))
        assert response.refusal["code"] == "wait-limit"
        assert response.refusal["execution"] == "may have run"

    run(session, options={"probe_base_delay": 5.0})


def test_unreachable_after_sent_attempt_is_may_have_run() -> None:
    """Guards against an execution value that depends on the last attempt alone."""

    async def session(harness: ListenerHarness) -> None:
        for _ in range(2):
            harness.add_dead_upstream("look")
        await harness.add_upstream(script(Close()), service="look")
        response = parse(await _ask(harness, request("look", stream=False), b"}\n"))
        assert response.refusal["execution"] == "may have run"

    run(session)


def test_wait_limit_without_attempt_is_was_not_run() -> None:
    """Guards against `may have run` for a call that was only queued."""

    async def session(harness: ListenerHarness) -> None:
        data = request("look", stream=False, class_name="quick")
        response = parse(await _ask(harness, data, b"}\n"))
        assert response.refusal["code"] == "wait-limit"
        assert response.refusal["execution"] == "was not run"
        assert "retry-after" in response.headers

    run(session)


def test_was_not_run_of_an_upstream_does_not_cover_earlier_attempts() -> None:
    """Guards against `was not run` because only the last upstream stated it."""

    async def session(harness: ListenerHarness) -> None:
        received_requests: list[bytes] = []

        def answer(received: bytes) -> Sequence[Step]:
            received_requests.append(received)
            if len(received_requests) == 1:
                return [Close()]
            return [complete_response("call-1", NOT_RUN, status=503)]

        for _ in range(2):
            await harness.add_upstream(answer, service="look")
        response = parse(await _ask(harness, request("look", stream=False), b"}\n"))
        assert response.refusal["code"] == "upstream-refused"
        assert response.refusal["execution"] == "may have run"
        assert len(received_requests) == 2

    run(session, options={"max_attempts": 2})


@pytest.mark.parametrize("status", [400, 404, 413, 422, 429])
@pytest.mark.parametrize("service", ["desk", "look", "talk"])
def test_caller_error_is_forwarded_and_is_no_replica_failure(
    status: int, service: str
) -> None:
    """Guards against retries and excluded replicas because of a caller's mistake."""

    async def session(harness: ListenerHarness) -> None:
        upstream = await harness.add_upstream(
            script(complete_response("call-1", b'{"code":"bad"}', status=status)),
            service=service,
        )
        response = parse(await _ask(harness, request(service), b"}"))
        assert (response.status, response.body) == (status, b'{"code":"bad"}')
        assert response.headers["x-call-id"] == "call-1"
        assert len(upstream.requests) == 1
        assert harness.board.upstreams.replicas["replica-1"].failures == 0
        await harness.wait_idle()

    run(session, options={"max_attempts": 1})


BREAKS: list[tuple[str, list[Step], str | None]] = [
    # name, end of the first attempt, X-Resume-From of the second
    ("before the head", [Close()], None),
    ("after the head", [stream_head("call-1"), Close()], None),
    ("after the start", [stream_head("call-1") + chunk(START), Close()], None),
    (
        "after a token",
        [stream_head("call-1") + chunk(START + T0), Until(T0), Close()],
        "1",
    ),
    (
        "inside a token",
        [stream_head("call-1") + chunk(START + T0 + T1[:12])[:-2], Until(T0), Close()],
        "1",
    ),
    (
        "wrong index in one read",
        [stream_head("call-1") + chunk(START + T0 + T2), Hang()],
        None,
    ),
    (
        "repeated token",
        [stream_head("call-1") + chunk(START + T0), Until(T0), chunk(T0), Hang()],
        "1",
    ),
    (
        "other stream's token",
        [
            stream_head("call-1") + chunk(START + T0),
            Until(T0),
            chunk(token("call-2", 1)),
            Hang(),
        ],
        "1",
    ),
    (
        "early end",
        [stream_head("call-1") + chunk(START + T0), Until(T0), chunk(END), Hang()],
        "1",
    ),
    (
        "terminating chunk without an end",
        [stream_head("call-1") + chunk(START + T0), Until(T0), b"0\r\n\r\n"],
        "1",
    ),
    (
        "bad chunk",
        [stream_head("call-1") + chunk(START + T0), Until(T0), b"xx\r\n", Hang()],
        "1",
    ),
    (
        "all tokens, no end",
        [stream_head("call-1") + chunk(START + T0 + T1 + T2), Until(T2), Close()],
        "3",
    ),
    (
        "silence",
        [stream_head("call-1") + chunk(START + T0), Until(T0), Hang()],
        "1",
    ),
]


@pytest.mark.parametrize(
    ("steps", "resume_from"),
    [pytest.param(*row[1:], id=row[0]) for row in BREAKS],
)
def test_broken_stream_resumes_at_another_replica(
    steps: list[Step], resume_from: str | None
) -> None:
    """Guards against a gap, a repetition or a false end in a resumed stream."""

    async def session(harness: ListenerHarness) -> None:
        attempted_upstreams: list[int] = []

        def first_fails(number: int) -> Callable[[bytes], Sequence[Step]]:
            def answer(received: bytes) -> Sequence[Step]:
                attempted_upstreams.append(number)
                return (
                    steps if len(attempted_upstreams) == 1 else answer_stream(received)
                )

            return answer

        upstreams = [await harness.add_upstream(first_fails(n)) for n in range(2)]
        response = parse(await _ask(harness, request(), b"0\r\n\r\n"))
        assert response.body == START + T0 + T1 + T2 + END and response.is_whole
        assert (
            len(attempted_upstreams) == 2
            and attempted_upstreams[0] != attempted_upstreams[1]
        )
        second = upstreams[attempted_upstreams[1]].requests[0].lower()
        if resume_from is None:
            assert b"x-resume-from" not in second
        else:
            assert b"x-resume-from: %b\r\n" % resume_from.encode() in second
        await harness.wait_idle()

    run(session, options={"upstream_idle_timeout": 0.5})


def test_served_units_are_charged_and_counted() -> None:
    """Guards against a served-units counter that differs from the ledger."""

    async def session(harness: ListenerHarness) -> None:
        def answer(received: bytes) -> list[Step]:
            parts = events(read_call_id(received), 200)
            return [stream_head("call-1") + b"".join(map(chunk, parts)) + b"0\r\n\r\n"]

        await harness.add_upstream(answer)
        await _ask(harness, request(), b"0\r\n\r\n")
        await harness.wait_idle()
        assert harness.board.ledger.served("talk", "a") == 203
        labels = {"service": "talk", "organisation": "a"}
        assert harness.counter("served_units", **labels) == 203

    run(session)


def test_broken_stream_without_replica_is_incomplete() -> None:
    """Guards against a broken stream that ends like a complete one."""

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(
            script(stream_head("call-1") + chunk(START + T0), Until(T0), Close()),
            service="once",
        )
        caller = await harness.connect()
        await caller.send(request("once"))
        response = parse(await caller.receive_all())
        assert not response.is_whole
        assert response.body.startswith(START + T0 + b"event: incomplete\ndata: ")
        assert b'"execution": "may have run"' in response.body
        await harness.wait_idle()

    run(session)


@pytest.mark.parametrize(
    "rest",
    [
        complete_response("call-1", b"{}", status=400),
        complete_response("call-1", b"{}", status=429),
        complete_response("call-1", NOT_RUN, status=429),
        complete_response("call-1", NOT_RUN, status=503),
        complete_response("call-1", b"failed", status=500),
        complete_response("call-1", b"failed"),
        complete_response("call-1", b""),
        stream_head("call-1") + b"0\r\n\r\n",
        stream_head("call-1") + chunk(b"failed\n\n") + b"0\r\n\r\n",
        stream_head("call-1") + chunk(b": failed\n\n") + b"0\r\n\r\n",
        stream_head("call-1") + chunk(events("call-1", 0)[-1]) + b"0\r\n\r\n",
    ],
)
def test_error_of_the_next_upstream_is_no_part_of_a_stream(rest: bytes) -> None:
    """Guards against a second response head or an error's text inside a stream."""

    async def session(harness: ListenerHarness) -> None:
        received_requests: list[bytes] = []

        def answer(received: bytes) -> Sequence[Step]:
            received_requests.append(received)
            if len(received_requests) == 1:
                return [stream_head("call-1") + chunk(START + T0), Until(T0), Close()]
            return [rest]

        for _ in range(2):
            await harness.add_upstream(answer, answer)
        caller = await harness.connect()
        await caller.send(request())
        response = parse(await caller.receive_all())
        assert response.body.startswith(START + T0 + b"event: incomplete\n")
        assert response.status == 200 and not response.is_whole
        assert b"HTTP/1.1" not in response.body and b"failed\n" not in response.body

    run(session)


def test_bytes_after_the_end_event_are_dropped() -> None:
    """Guards against trailing bytes that reach the caller or the next call."""

    async def session(harness: ListenerHarness) -> None:
        excess = chunk(START + T0 + T1 + T2 + END + START) + b"0\r\n\r\n"
        upstream = await harness.add_upstream(
            script(stream_head("call-1") + excess), answer_stream
        )
        caller = await harness.connect()
        await caller.send(request() * 2)
        response = parse(
            await caller.receive_until(b'"call-2","tokens":3}\n\n\r\n0\r\n\r\n')
        )
        assert response.body == START + T0 + T1 + T2 + END and response.is_whole
        assert parse(response.rest).body == b"".join(events("call-2", 3))
        assert harness.counter("answer_mismatches") == 1
        assert len(upstream.requests) == 2

    run(session)


def test_non_streamed_answer_of_engine_is_one_document() -> None:
    """Guards against raw events for callers that did not request a stream."""

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(answer_stream)
        response = parse(await _ask(harness, request(stream=False), b"}\n"))
        assert response.headers["content-type"] == "application/json"
        assert response.is_whole and response.refusal == {
            "id": "call-1",
            "prefilled": 3,
            "cached": 1,
            "tokens": 3,
            "text": "t0 t1 t2 ",
        }

    run(session)


@pytest.mark.parametrize("ending", [b"", complete_response("call-1", b"{}")])
@pytest.mark.parametrize("service", ["look", "desk"])
def test_idle_connection_that_received_data_or_a_close_is_not_used(
    ending: bytes, service: str
) -> None:
    """Guards against a call that fails or gets another answer on a stale connection."""

    async def session(harness: ListenerHarness) -> None:
        def answer(received: bytes) -> list[Step]:
            reply = complete_response(read_call_id(received), b"{}")
            return [reply, Until(b"{}"), ending, Close()]

        upstream = await harness.add_upstream(answer, answer_call, service=service)
        caller = await harness.connect()
        await caller.send(request(service, stream=False))
        await caller.receive_until(b"{}")
        # The bytes and the close must arrive while the connection is idle. A close that
        # arrives later is the race that
        # test_idle_connection_closed_during_the_request_is_replaced covers.
        await harness.wait_for(lambda: upstream.ended == 1)
        await curio.sleep(0.02)
        await caller.send(request(service, stream=False))
        received = await caller.receive_until(b"x-call-id: call-2\r\n")
        assert received.count(b"HTTP/1.1 200 ") == 2
        assert harness.counter("answer_mismatches") == 0
        assert harness.counter("retries", code="answer-incomplete") == 0
        assert upstream.connections == 2

    run(session)


def test_silence_on_a_reused_connection_is_not_treated_as_a_close() -> None:
    """Guards against sending a request twice to a silent replica in one attempt."""

    async def session(harness: ListenerHarness) -> None:
        upstream = await harness.add_upstream(
            answer_call, script(Hang()), script(Hang()), service="look"
        )
        data = request("look", stream=False)
        received = await _ask(harness, data * 2, b"}\n")
        assert b"answer-incomplete" in received
        assert len(upstream.requests) == 2

    run(session, options={"max_attempts": 1, "upstream_idle_timeout": 0.5})


def test_call_that_must_run_once_uses_a_new_connection() -> None:
    """Guards against an unknown outcome because an idle connection was closed."""

    async def session(harness: ListenerHarness) -> None:
        upstream = await harness.add_upstream(answer_call, answer_call, service="desk")
        data = request("desk", stream=False)
        await _ask(harness, data * 2, b"x-call-id: call-2\r\n")
        assert upstream.connections == 2

    run(session)


@pytest.mark.parametrize("status", [429, 503])
def test_call_is_not_sent_again_where_its_refusal_may_be_repeated(status: int) -> None:
    """Guards against `was not run` for a call that the upstream is running."""

    async def session(harness: ListenerHarness) -> None:
        refusal = complete_response("call-1", NOT_RUN, status=status)
        upstream = await harness.add_upstream(
            script(refusal, UntilNext(), refusal), answer_call, service="look"
        )
        response = parse(await _ask(harness, request("look", stream=False), b"}"))
        assert (response.status, response.body) == (200, b"{}")
        assert (len(upstream.requests), upstream.connections) == (2, 2)

    run(session, options={"max_attempts": 2})


def test_idle_connection_closed_during_the_request_is_replaced() -> None:
    """Guards against counting a race on an idle connection as a failed attempt."""

    async def session(harness: ListenerHarness) -> None:
        upstream = await harness.add_upstream(
            answer_call, script(Close()), answer_call, service="look"
        )
        caller = await harness.connect()
        await caller.send(request("look", stream=False) * 2)
        received = await caller.receive_until(b"x-call-id: call-2\r\n")
        assert received.count(b"HTTP/1.1 200 ") == 2
        assert (len(upstream.requests), upstream.connections) == (3, 2)
        assert harness.counter("pool_stale_connections") == 1
        assert harness.board.upstreams.replicas["replica-1"].failures == 0

    run(session, options={"max_attempts": 1})


@pytest.mark.parametrize(
    ("options", "expected"),
    [
        ({"pool_limit_per_replica": 2}, 2),
        ({"pool_limit": 1}, 1),
        ({"pool_limit": 0}, 0),
        ({}, 4),
    ],
)
def test_pool_is_bounded(options: dict[str, Any], expected: int) -> None:
    """Guards against an unbounded number of idle connections."""

    async def session(harness: ListenerHarness) -> None:
        def answer(received: bytes) -> list[Step]:
            return [complete_response(read_call_id(received), b"{}")]

        upstream = await harness.add_upstream(*[answer] * 4, service="look")
        pool = harness.calls._pool
        assert upstream.address is not None
        # All four connections are acquired before the first is released.
        connections = [
            (await pool.acquire(upstream.address, force_new=False))[0] for _ in range(4)
        ]
        for connection in connections:
            headers = {"x-call-id": "x"}
            await connection.send_request("POST", "/v1/call", headers, b"")
            await connection.receive_response()
            await connection.receive_body()
            await pool.release(connection)
        assert len(pool) == expected
        await pool.close_expired(1e12)
        assert len(pool) == 0

    run(session, options=options)


@pytest.mark.parametrize(
    "answer", [b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b""]
)
def test_answer_that_has_arrived_is_not_taken_for_silence(answer: bytes) -> None:
    """Guards against a late event loop that aborts an exchange whose answer is there.

    The check for silence runs before the connection's task has read the answer.
    """

    async def session(harness: ListenerHarness) -> None:
        pool = harness.calls._pool
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = Address(*server.getsockname())
            connection, _ = await pool.acquire(address, force_new=False)
            peer = server.accept()[0]
        with peer:
            await connection.send_request("POST", "/", {}, b"{}")
            task = await curio.spawn(connection.receive_response)
            await harness.wait_for(lambda: connection.waiting_since is not None)
            peer.sendall(answer)
            await pool.close_expired(time.monotonic() + 1e6)
            assert connection.is_aborted == (not answer)
            if answer:
                assert (await task.join()).status == 200
            else:
                with pytest.raises(curio.TaskError):
                    await task.join()
            await pool.discard(connection)

    run(session)


def test_connections_to_upstreams_are_bounded() -> None:
    """Guards against upstreams that take the descriptors of callers and control."""

    async def session(harness: ListenerHarness) -> None:
        def answer(received: bytes) -> list[Step]:
            return [complete_response(read_call_id(received), b"{}")]

        upstreams = [await harness.add_upstream(answer) for _ in range(2)]
        pool = harness.calls._pool
        first, second = (upstream.address for upstream in upstreams)
        assert first is not None
        assert second is not None
        held, _ = await pool.acquire(first, force_new=False)
        kept, _ = await pool.acquire(first, force_new=False)
        with pytest.raises(TimeoutError, match="all 2 connections to upstreams"):
            await pool.acquire(second, force_new=False)
        waiting = await curio.spawn(partial(pool.acquire, second, force_new=False))
        headers = {"x-call-id": "x"}
        await kept.send_request("POST", "/v1/call", headers, b"")
        await kept.receive_response()
        await kept.receive_body()
        await pool.release(kept)
        connection, is_reused = await waiting.join()
        assert (pool.open_count, len(pool), is_reused) == (2, 0, False)
        for used in (held, connection):
            await pool.discard(used)
        assert pool.open_count == 0

    run(session, options={"upstream_connections": 2, "connect_timeout": 0.1})


def test_address_of_a_dead_upstream_stays_reserved() -> None:
    """Guards against another test that listens at an address that must refuse."""

    async def session(harness: ListenerHarness) -> None:
        replica_id = harness.add_dead_upstream("desk")
        address = harness.board.upstreams.replicas[replica_id].address
        with pytest.raises(OSError, match="in use"):
            socket.create_server((address.host, address.port)).close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((address.host, address.port)).close()

    run(session)
