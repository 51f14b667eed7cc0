"""Tests of a listener with more callers than it may have connections."""

from __future__ import annotations

import socket
import time
from itertools import pairwise, product
from typing import Any

import curio
import curio.io
import pytest

from sequoiamoor.daemon import listener
from sequoiamoor.net import http_server, refusal_lane
from sequoiamoor.net.acceptor import Acceptor

from ..listener_harness import (
    Caller,
    Hang,
    ListenerHarness,
    Step,
    Until,
    complete_response,
    parse,
    read_call_id,
    request,
    run,
)

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n"


def answer_whole(received: bytes) -> list[Step]:
    return [complete_response(read_call_id(received), b"{}")]


def wait_for_last(received: bytes) -> list[Step]:
    return [Until(b"too-many-connections"), *answer_whole(received)]


async def connect_kept(harness: ListenerHarness, organisation: str) -> Caller:
    """Returns a connection on which one request was answered."""
    caller = await harness.connect()
    idle_count = count_idle(harness)
    await caller.send(request("look", stream=False, organisation=organisation))
    await caller.receive_until(b"\r\n\r\n{}")
    caller.received = b""
    displaced = harness.counter("connections_displaced")
    await harness.wait_for(lambda: count_idle(harness) > idle_count - displaced)
    return caller


def count_idle(harness: ListenerHarness) -> int:
    idle = harness.listener._served.list_idle(float("inf"))
    return sum(connection.is_idle for connection in idle)


async def check_refused(caller: Caller) -> None:
    response = parse(await caller.receive_all())
    assert (response.status, response.refusal["code"]) == (503, "too-many-connections")
    assert response.refusal["execution"] == "was not run"
    assert (response.headers["connection"], response.rest) == ("close", b"")
    assert not caller.is_reset


@pytest.fixture
def short_idle_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets connections make room as soon as they are idle."""
    monkeypatch.setattr(listener, "MIN_IDLE_SECONDS", 0.0)


def run_limited(session: Any, connections: int) -> None:
    run(session, limits={"connections": connections})


@pytest.mark.parametrize(
    "parts",
    [
        (request(),),
        (HEALTH,),
        (request(body=b"x" * 1_000_000),),
        (request(extra=b"Transfer-Encoding: chunked\r\n"), b"5\r\nabc"),
        (b"POST /v1", b" HTTP/1.1\r\n"),
        (),
    ],
    ids=["whole", "without body", "long body", "chunks", "part of a head", "nothing"],
)
def test_each_connection_over_the_limit_is_told(parts: tuple[bytes, ...]) -> None:
    """Guards against callers that get a reset or a close and cannot know what ran."""

    async def session(harness: ListenerHarness) -> None:
        await harness.connect()
        await curio.sleep(0)
        callers = [await harness.connect() for _ in range(100)]
        async with curio.TaskGroup() as tasks:
            for caller in callers:
                await tasks.spawn(ask, caller)
        for task in tasks.tasks:
            assert task.exception is None
        assert harness.counter("refusals", code="too-many-connections") == 100

    async def ask(caller: Caller) -> None:
        for part in parts:
            await caller.send(part)
        await check_refused(caller)
        await caller.close()

    run_limited(session, 1)


def test_request_that_arrives_as_the_timer_fires_is_read_before_its_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refused connections that are held open on a late event loop.

    The timer is noticed before the request arrives. The caller does not close.
    """
    monkeypatch.setattr(refusal_lane, "FIRST_BYTES_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(refusal_lane, "LINGER_SECONDS", 60.0)

    async def session(harness: ListenerHarness) -> None:
        await harness.connect()
        await curio.sleep(0)
        caller = await harness.connect()
        # The connection's task gets to its wait.
        await curio.sleep(0)
        time.sleep(0.1)
        await curio.sleep(0)
        await caller.send(HEALTH)
        await check_refused(caller)
        await harness.wait_for(lambda: harness.listener.excess_connections == 0)

    run_limited(session, 1)


def test_flood_of_connections_displaces_few_idle_ones(
    short_idle_time: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a flood that is served because idle connections make room."""
    monkeypatch.setattr(listener, "MIN_DISPLACEMENT_INTERVAL_SECONDS", 60.0)

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(*[answer_whole] * 3, service="look")
        for _ in range(3):
            await connect_kept(harness, "a")
        callers = [await harness.connect() for _ in range(3)]
        for caller in callers:
            await caller.send(HEALTH)
        assert parse(await callers[0].receive_until(b"\r\n\r\n")).status == 200
        for caller in callers[1:]:
            await check_refused(caller)
        assert harness.counter("connections_displaced") == 1

    run_limited(session, 3)


def test_whole_requests_over_the_limit_are_refused_as_they_are_accepted() -> None:
    """Guards against a flood that waits unread until one more can be refused."""
    accepted: list[Any] = []

    async def session(harness: ListenerHarness) -> None:
        async def accept(sock: Any, peer: Any) -> None:
            accepted.append(peer)
            await harness.listener.accept(sock, peer)

        await harness.add_upstream(lambda _: [Hang()], service="look")
        sock = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=256)
        acceptor = Acceptor(
            sock,
            accept,
            name="callers",
            limit=2,
            end_at_once=harness.listener.refuse_at_once,
        )
        accept_task = await curio.spawn(acceptor.run, daemon=True)
        held = Caller(harness, await curio.open_connection(*acceptor.address))
        await held.send(request("look", stream=False))
        await harness.wait_for(lambda: harness.listener.served_connections == 1)
        callers = []
        for _ in range(50):
            # Nothing is accepted before the request has arrived.
            caller_sock = socket.create_connection(acceptor.address)
            caller_sock.sendall(request("look", stream=False))
            callers.append(Caller(harness, curio.io.Socket(caller_sock)))
        for caller in callers:
            await check_refused(caller)
            await caller.close()
        assert len(accepted) == 1
        assert harness.counter("refusals", code="too-many-connections") == 50
        await held.close()
        await harness.wait_for(lambda: harness.listener._connections == 0)
        await accept_task.cancel()

    run_limited(session, 1)


def test_more_callers_than_lane_and_limit_hold_are_answered_or_refused() -> None:
    """Guards against connections that are closed only because there are many."""

    async def session(harness: ListenerHarness) -> None:
        harness.listener.refusal_connections = 3
        sock = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=256)
        limit = harness.listener.connection_limit
        acceptor = Acceptor(sock, harness.listener.accept, name="callers", limit=limit)
        accept_task = await curio.spawn(acceptor.run, daemon=True)
        answers = []

        async def ask() -> None:
            caller = Caller(harness, await curio.open_connection(*acceptor.address))
            await caller.send(HEALTH + b"partial")
            await caller.receive_until(b"\r\n\r\n")
            assert not caller.is_reset
            answers.append(parse(caller.received).status)
            await caller.close()

        most = 0
        async with curio.TaskGroup() as tasks:
            for _ in range(200):
                await tasks.spawn(ask)
            while len(answers) < 200:
                most = max(most, len(acceptor))
                await curio.sleep(0.001)
        assert set(answers) == {200, 503}
        assert most <= limit == 5
        await harness.wait_for(lambda: harness.listener._connections == 0)
        await accept_task.cancel()

    run_limited(session, 2)


@pytest.mark.usefixtures("short_idle_time")
def test_idle_connection_of_the_largest_holder_makes_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against newcomers refused, or small holders closed, for idle callers.

    A displaced caller that does not close its side takes no room of refusals.
    """
    monkeypatch.setattr(http_server, "CLOSE_LINGER_SECONDS", 60.0)

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(*[answer_whole] * 4, service="look")
        small = await connect_kept(harness, "b")
        first = await connect_kept(harness, "a")
        second = await connect_kept(harness, "a")
        newcomer = await connect_kept(harness, "b")
        assert await first.receive_all() == b""
        assert not first.is_reset
        await harness.wait_for(lambda: harness.listener.excess_connections == 0)
        reason = listener.ConnectionEnd.DISPLACED
        assert harness.counter("caller_connections_ended", reason=reason) == 1
        assert harness.counter("caller_connections_cut", reason=reason) == 0
        for caller in (small, second, newcomer):
            await caller.send(HEALTH)
            assert b"200" in await caller.receive_until(b"ok\n")
        assert harness.counter("connections_displaced") == 1
        assert harness.counter("refusals", code="too-many-connections") == 0

    run_limited(session, 3)


@pytest.mark.usefixtures("short_idle_time")
def test_connection_with_a_request_is_not_closed_for_room() -> None:
    """Guards against a request that is cut because others connect."""

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(answer_whole, wait_for_last, service="look")
        arriving = await connect_kept(harness, "a")
        serving = await harness.connect()
        await serving.send(request("look", stream=False))
        await harness.wait_for(lambda: harness.calls.in_service == 1)
        await arriving.send(HEALTH[:10])
        refused = await harness.connect()
        await refused.send(HEALTH)
        await check_refused(refused)
        await arriving.send(HEALTH[10:])
        assert b"200" in await arriving.receive_until(b"ok\n")
        assert parse(await serving.receive_until(b"{}")).status == 200

    run_limited(session, 2)


def test_connection_that_was_just_used_is_not_closed_for_room() -> None:
    """Guards against callers in a series of requests whose connections are closed."""

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(answer_whole, service="look")
        kept = await connect_kept(harness, "a")
        newcomer = await harness.connect()
        await check_refused(newcomer)
        await kept.send(HEALTH)
        assert b"200" in await kept.receive_until(b"ok\n")

    run_limited(session, 1)


@pytest.mark.usefixtures("short_idle_time")
@pytest.mark.parametrize(
    ("cuts", "is_closing"),
    [
        *product([(None,), (10, None), (-1_000, None), (10, -500, -2, None)], [False]),
        *product([(9,), (-5,), (10,)], [False, True]),
    ],
)
def test_request_that_crosses_the_close_of_its_connection_is_refused(
    cuts: tuple[int | None, ...], is_closing: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against silence, a reset, a 400 or a connection held open for its caller.

    It made room just before the request arrived, in pieces or only in part.
    """
    if is_incomplete := cuts[-1] is not None:
        monkeypatch.setattr(http_server, "CLOSE_LINGER_SECONDS", 0.2)

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(answer_whole, service="look")
        kept = await connect_kept(harness, "a")
        data = request("look", stream=False, body=b"x" * 1_000)
        # Nothing else runs before the first piece is sent.
        assert harness.listener._make_room()
        for start, end in pairwise((0, *cuts)):
            if start:
                # The router has come to the piece before.
                await curio.sleep(0.1)
            kept.sock._socket.send(data[start:end])
        if is_closing:
            kept.sock._socket.shutdown(socket.SHUT_WR)
        await check_refused(kept)
        if is_incomplete:
            await harness.wait_for(lambda: harness.listener.excess_connections == 0)

    run_limited(session, 1)


def test_organisation_over_its_share_gives_connections_back() -> None:
    """Guards against one organisation that holds the connections of the others."""

    async def session(harness: ListenerHarness) -> None:
        await harness.add_upstream(*[answer_whole] * 5, service="look")
        kept = [await connect_kept(harness, "a") for _ in range(3)]
        other = await connect_kept(harness, "b")
        for caller in (*kept, other):
            await caller.send(HEALTH[:10])
        await check_refused(await harness.connect())
        for caller, is_closed in ((kept[0], True), (other, False)):
            await caller.send(HEALTH[10:])
            await caller.receive_until(b"ok\n")
            response = parse(caller.received)
            assert response.status == 200
            assert (response.headers.get("connection") == "close") == is_closed
        # The caller does not close, so the router waits for it.
        await harness.wait_for(lambda: harness.listener.served_connections == 3)
        assert harness.listener.excess_connections > 0
        newcomer = await harness.connect()
        await newcomer.send(HEALTH)
        assert b"200" in await newcomer.receive_until(b"ok\n")

    run_limited(session, 4)


def test_organisation_with_its_share_in_service_is_refused_while_none_is_left() -> None:
    """Guards against one organisation whose requests take all connections."""

    async def session(harness: ListenerHarness) -> None:
        scripts = [answer_whole] * 4 + [lambda _: [Hang()]] * 2 + [answer_whole]
        await harness.add_upstream(*scripts, service="look")
        kept = [await connect_kept(harness, "a") for _ in range(3)]
        other = await connect_kept(harness, "b")
        call = request("look", stream=False)
        for caller in (*kept, other):
            await caller.send(call[:10])
        await check_refused(await harness.connect())
        for number in (1, 2):
            await kept[number].send(call[10:])
        await harness.wait_for(lambda: harness.calls.in_service == 2)
        await kept[0].send(call[10:])
        response = parse(await kept[0].receive_until(b"}\n"))
        assert response.refusal["code"] == "too-many-connections"
        await other.send(call[10:])
        assert parse(await other.receive_until(b"{}")).status == 200

    run_limited(session, 4)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (HEALTH, True),
        (HEALTH[:-1], False),
        (request(body=b"abc"), True),
        (request(body=b"abc")[:-1], False),
        (HEALTH * 2, False),
        (request(extra=b"Transfer-Encoding: chunked\r\n"), False),
        (b"", False),
    ],
)
def test_whole_request_is_recognised(data: bytes, expected: bool) -> None:
    """Guards against a close before a caller has sent all, which resets it."""
    assert refusal_lane.is_whole_request(data) == expected


def test_refusal_fits_into_the_smallest_send_buffer() -> None:
    """Guards against a refusal that is sent in part."""
    left, right = socket.socketpair()
    with left, right:
        left.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        left.setblocking(False)
        refusal = listener.TooManyConnectionsError("x" * 200, retry_after=1.0)
        response = refusal_lane.build_response(refusal)
        assert left.send(response) == len(response)
