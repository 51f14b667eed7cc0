"""Tests of requests under which replicas end, with scripted replicas."""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from typing import Any

import curio
import pytest

from sequoiamoor.core.part_cases import Crash, PartCase, PartKey
from sequoiamoor.core.statements import ReplicaProcess
from sequoiamoor.daemon import end_check
from sequoiamoor.daemon.end_check import EndCheck
from sequoiamoor.net.http_client import ClientConnection
from sequoiamoor.types import Address

from ..listener_harness import Close, End, Hang, Repeat, Step, chunk
from ..route_listener_harness import (
    STREAM_HEAD,
    RouteListenerHarness,
    ask,
    event,
    route_request,
    run,
)

PARTS = b"X-Prompt-Prefix: AA0:200,bb00:300,c1:40\r\n"
SHARED, BAD = PartKey("talk", "aa0"), PartKey("talk", "bb00")
WHOLE_STREAM: list[Step] = [STREAM_HEAD, chunk(event(1)), b"0\r\n\r\n"]


def build_case(**changes: Any) -> PartCase:
    crashes = frozenset(Crash(f"i-{n}", f"r/{n}", "(public)") for n in range(3))
    probe_at = time.monotonic() + 60.0
    case = PartCase(BAD, crashes=crashes, is_quarantined=True, probe_at=probe_at)
    return replace(case, **changes)


@pytest.mark.parametrize(
    ("proven", "end", "requests", "status", "is_logged"),
    [
        ([SHARED, BAD], [STREAM_HEAD, End()], 2, 200, True),
        ([SHARED, BAD], [STREAM_HEAD, chunk(event(1)), End()], 2, 200, True),
        ([SHARED, BAD], [End()], 2, 200, True),
        ([SHARED], [STREAM_HEAD, End()], 1, 502, True),
        ([], [STREAM_HEAD, End()], 1, 502, True),
        ([], [End()], 1, 502, True),
        ([], [STREAM_HEAD, Close(is_reset=True)], 2, 200, False),
        ([], [STREAM_HEAD, Close()], 2, 200, False),
        ([], [b"HTTP/1.1 200", Close()], 2, 200, False),
    ],
)
def test_request_that_ended_a_replica_is_repeated_only_if_its_parts_are_proven(
    proven: list[PartKey],
    end: list[Step],
    requests: int,
    status: int,
    is_logged: bool,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a request that ends two replicas one after the other.

    And against an end of a process that looks like any broken answer.
    """

    async def session(harness: RouteListenerHarness) -> None:
        rest = [STREAM_HEAD, chunk(event(1) + event(2)), b"0\r\n\r\n"]
        if chunk(event(1)) in end:
            rest[1] = chunk(event(2))
        replicas = await harness.add_replicas(2, end, rest)
        harness.forwarder.guard.quarantine.record_answer(
            "talk", "(public)", proven, time.monotonic()
        )
        response = await ask(harness, route_request("/summary/1", extra=PARTS))
        assert (response.status, response.is_whole) == (status, True)
        assert sum(len(replica.requests) for replica in replicas) == requests

    with caplog.at_level(logging.INFO):
        run(session)
    parts = [
        record.__dict__["parts"]
        for record in caplog.records
        if record.getMessage() == "replica ended when it began to answer"
    ]
    assert parts == ([["aa0", "bb00"]] if is_logged else [])


def test_request_with_a_part_in_quarantine_is_refused_at_once() -> None:
    """Guards against a refusal that is late, untrue or invites the caller back."""

    async def session(harness: RouteListenerHarness) -> None:
        replicas = await harness.add_replicas(1, WHOLE_STREAM)
        await harness.forwarder.guard.apply(build_case(), "test")
        response = await ask(harness, route_request("/summary/1", extra=PARTS))
        assert response.status == 503
        assert b"part-quarantined" in response.body
        assert 55.0 < float(response.headers["retry-after"]) <= 60.0
        assert not replicas[0].requests
        sound = b"X-Prompt-Prefix: aa0:200,c2:40\r\n"
        response = await ask(harness, route_request("/summary/1", extra=sound))
        assert (response.status, response.is_whole) == (200, True)

    run(session)


def test_waiting_request_is_refused_when_its_part_comes_into_quarantine() -> None:
    """Guards against requests that wait for a slot and then end a replica."""

    async def session(harness: RouteListenerHarness) -> None:
        replicas = await harness.add_replicas(1)
        # Nothing is sent while the only replica is out.
        (replica,) = harness.board.upstreams.replicas.values()
        replica.ejected_until = float("inf")
        caller = await harness.connect()
        await caller.send(route_request("/summary/1", extra=PARTS))
        await harness.wait_for(lambda: len(harness.board.queues) == 1)
        await harness.forwarder.guard.apply(build_case(), "test")
        received = await caller.receive_until(b"part-quarantined")
        assert received.startswith(b"HTTP/1.1 503")
        assert not replicas[0].requests

    run(session)


@pytest.mark.parametrize(
    ("answer", "is_cleared"), [(WHOLE_STREAM, True), ([STREAM_HEAD, End()], False)]
)
def test_one_request_tests_a_part_after_a_claim(
    answer: list[Step], is_cleared: bool
) -> None:
    """Guards against a part that never comes back, or costs several replicas."""

    async def session(harness: RouteListenerHarness) -> None:
        replicas = await harness.add_replicas(2, answer, WHOLE_STREAM)
        guard = harness.forwarder.guard
        await guard.apply(build_case(probe_at=time.monotonic()), "test")
        first = await ask(harness, route_request("/summary/1", extra=PARTS))
        assert first.status == 503
        assert guard.take_asked() == {BAD}
        guard.permit_probe(BAD)
        second = await ask(harness, route_request("/summary/2", extra=PARTS))
        assert second.status == (200 if is_cleared else 502)
        third = await ask(harness, route_request("/summary/3", extra=PARTS))
        assert third.status == (200 if is_cleared else 503)
        assert sum(len(replica.requests) for replica in replicas) == 1 + is_cleared

    run(session)


def test_long_answer_counts_before_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a part that is suspected while long answers on it go on."""
    monkeypatch.setattr("sequoiamoor.daemon.part_guard.SHORT_ANSWER_SECONDS", 0.05)

    async def session(harness: RouteListenerHarness) -> None:
        going_on = Repeat(chunk(b": still here\n\n"))
        await harness.add_replicas(1, [STREAM_HEAD, chunk(event(1)), going_on])
        quarantine = harness.forwarder.guard.quarantine
        quarantine.merge(build_case(is_quarantined=False), time.monotonic())
        caller = await harness.connect()
        await caller.send(route_request("/summary/1", extra=PARTS))
        await caller.receive_until(event(1))
        assert not quarantine.cases[BAD].is_cleared
        while not quarantine.cases[BAD].is_cleared:
            await caller.receive()
        assert len(harness.board.running) == 1

    run(session)


def test_check_of_an_end_is_shared_by_the_broken_attempts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection for each request that a replica took along."""
    connects = []
    connect = ClientConnection.connect

    async def count(*arguments: Any, **options: Any) -> Any:
        connects.append(arguments)
        return await connect(*arguments, **options)

    async def session(harness: RouteListenerHarness) -> None:
        script = [STREAM_HEAD, Hang()]
        replicas = await harness.add_replicas(1, script, script, script)
        callers = [await harness.connect() for _ in range(3)]
        for caller in callers:
            await caller.send(route_request("/summary/1", extra=PARTS))
        await harness.wait_for(lambda: len(replicas[0].requests) == 3)
        monkeypatch.setattr(ClientConnection, "connect", count)
        await replicas[0].tasks.cancel()
        for caller in callers:
            assert (await caller.receive_until(b"502")).startswith(b"HTTP/1.1 502")
        assert len(connects) == 1

    run(session)


def test_process_whose_port_closes_after_its_connections_has_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an end that is missed because a check came a moment early."""
    # Long beside the time after which the process closes its port.
    monkeypatch.setattr(end_check, "CLOSE_SECONDS", 1.0)

    async def end_slowly(sock: Any, peer: Any) -> None:
        await curio.sleep(0.01)
        await server.cancel(blocking=False)
        await curio.sleep(10.0)

    async def main() -> bool:
        nonlocal server
        sock = curio.network.tcp_server_socket("127.0.0.1", 0)
        address = Address(*sock.getsockname()[:2])
        server = await curio.spawn(curio.network.run_server, sock, end_slowly)
        check = EndCheck(timeout=0.5)
        return await check.has_ended(ReplicaProcess("i-1", 7, None), address)

    server: Any = None
    assert curio.run(main)
