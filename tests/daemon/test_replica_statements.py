"""Tests of what the answers of replicas say about new requests, on routes."""

from __future__ import annotations

import socket
import time

import curio
import pytest

from sequoiamoor.core.statements import Statement
from sequoiamoor.core.upstreams import ListedUpstream, LoadReport, Replica
from sequoiamoor.daemon.pages import build_status
from sequoiamoor.types import Address

from ..listener_harness import Close, End, ScriptedUpstream, Step, Until, chunk
from ..route_listener_harness import (
    STREAM_HEAD,
    RouteListenerHarness,
    answer,
    event,
    route_request,
    run,
)
from .test_forwarder import ask
from .test_leaving_upstreams import call_while_connecting

LEAVING = b"Server-Leaving: 1\r\n"
SIGNED = b"X-Server-Signature: 3e1b\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"
LEAVING_STREAM_HEAD = STREAM_HEAD.replace(b"\r\n\r\n", b"\r\n" + LEAVING + b"\r\n")
LONG_HOLD = b"Retry-After: 60\r\n"


def find_used(
    harness: RouteListenerHarness, replicas: list[ScriptedUpstream]
) -> tuple[ScriptedUpstream, Replica]:
    """Returns the one replica that received requests."""
    (used,) = [replica for replica in replicas if replica.requests]
    known = harness.board.upstreams.replicas.values()
    return used, next(one for one in known if one.address == used.address)


@pytest.mark.parametrize(
    ("path", "script", "retries"),
    [
        ("/look/1", [answer(extra=SIGNED + LEAVING)], 0),
        ("/hold/1", [answer(status=500, extra=SIGNED + LEAVING)], 0),
        ("/hold/1", [answer(status=503, extra=NOT_RUN + LEAVING)], 1),
        ("/look/1", [answer(extra=LEAVING)], 1),
        ("/look/1", [answer(request_id=None, extra=SIGNED + LEAVING)], 1),
        ("/look/1", [answer(request_id="7", extra=SIGNED + LEAVING), answer()], 0),
        (
            "/look/1",
            [b"HTTP/1.1 103 Early Hints\r\n" + LEAVING + b"\r\n", answer()],
            0,
        ),
        (
            "/look/1",
            [answer(extra=SIGNED + LEAVING)[:-2], Close(is_reset=True)],
            1,
        ),
        ("/chat/1", [LEAVING_STREAM_HEAD, chunk(event(1)), b"0\r\n\r\n"], 0),
    ],
    ids=[
        "whole", "failed", "refused", "unsigned", "without-identifier", "skipped",
        "interim", "broken", "stream",
    ],
)  # fmt: skip
def test_replica_that_says_it_leaves_in_any_answer_gets_nothing_more(
    path: str, script: list[Step], retries: int
) -> None:
    """Guards against requests to a replica that leaves and said so in an answer."""

    async def session(harness: RouteListenerHarness) -> None:
        replicas = await harness.add_replicas(2, script, *[[answer()]] * 5)
        await ask(harness, route_request(path))
        for _ in range(4):
            assert (await ask(harness, route_request("/look/1"))).status == 200
        requests = {one.address: len(one.requests) for one in replicas}
        assert sorted(requests.values()) == [1, 4 + retries]
        (leaving,) = harness.announced
        assert requests[leaving.address] == 1
        assert harness.counter("upstream_statements", statement="leaving") == 1
        rows = build_status(
            harness.board, is_table_available=True, unwritten_records=0, now=0.0
        )["upstreams"]
        (row,) = [row for row in rows if row["leaving"]]
        assert (row["replica"], row["available"]) == (leaving.replica_id, False)

    run(session)


def test_leaving_counts_from_the_head_of_a_stream_that_goes_on() -> None:
    """Guards against choosing a replica that leaves until its last stream has ended.

    The stream itself and the header reach the caller unchanged.
    """

    async def session(harness: RouteListenerHarness) -> None:
        stream: list[Step] = [
            LEAVING_STREAM_HEAD,
            chunk(event(1)),
            Until(b"second"),
            chunk(event(2)),
            b"0\r\n\r\n",
        ]
        replicas = await harness.add_replicas(2, stream, *[[answer(b"second")]] * 4)
        first = await harness.connect()
        await first.send(route_request("/chat/1"))
        await first.receive_until(b"t1")
        used, _ = find_used(harness, replicas)
        for _ in range(4):
            other = await harness.connect()
            await other.send(route_request("/look/1"))
            await other.receive_until(b"second")
        await first.receive_until(b"0\r\n\r\n")
        assert event(2) in first.received
        assert b"\r\nserver-leaving: 1\r\n" in first.received.lower()
        assert len(used.requests) == 1

    run(session)


def test_late_answer_of_an_earlier_process_says_nothing_about_its_successor() -> None:
    """Guards against a new process that gets no work because the last one left."""

    async def session(harness: RouteListenerHarness) -> None:
        late: list[Step] = [Until(b"second"), answer(extra=SIGNED + LEAVING)]
        replicas = await harness.add_replicas(2, late, *[[answer(b"second")]] * 3)
        first = await harness.connect()
        await first.send(route_request("/look/1"))
        await harness.wait_for(lambda: any(one.requests for one in replicas))
        _, replica = find_used(harness, replicas)
        listed = ListedUpstream(
            replica.replica_id, "talk", "zone-a", replica.address, False
        )
        # It started after the request was sent.
        born_ms = time.time_ns() // 1_000_000 + 1
        load = LoadReport(born_ms, 4, 0, 0, 0.0, False)
        harness.board.upstreams.put(listed, load, time.monotonic())
        second = await harness.connect()
        await second.send(route_request("/look/1"))
        await second.receive_until(b"second")
        await first.receive_until(b"done")
        assert not replica.is_leaving
        assert harness.announced == []
        assert replica.is_available(time.monotonic())

    run(session)


def test_process_that_says_it_leaves_before_its_row_gets_nothing_after_it() -> None:
    """Guards against requests to a replica that started and left in a store's outage.

    It said so right after its start, when the difference of two clocks may hide that.
    """

    async def session(harness: RouteListenerHarness) -> None:
        leaves = [answer(extra=SIGNED + LEAVING)]
        upstream = await harness.add_upstream(lambda _: [End()], lambda _: leaves)
        upstreams = harness.board.upstreams
        (replica,) = upstreams.replicas.values()
        assert upstream.address is not None
        at = upstream.address
        listed = ListedUpstream(replica.replica_id, "talk", "zone-a", at, False)
        upstreams.put(listed, LoadReport(1, 4, 0, 0, 0.0, False), time.monotonic())
        for _ in range(2):
            assert (await ask(harness, route_request("/hold/1"))).status != 200
        await upstream.listen(at.port)
        await harness.wait_for(lambda: replica.is_available(time.monotonic()))
        born_ms = time.time_ns() // 1_000_000
        assert (await ask(harness, route_request("/look/1"))).status == 200
        assert replica.is_leaving
        load = LoadReport(born_ms, 4, 0, 0, 0.0, False)
        assert upstreams.put(listed, load, time.monotonic())
        assert replica.incarnation == born_ms
        assert not replica.may_receive(time.monotonic())

    run(session)


@pytest.mark.parametrize("age_ms", [1, 185, 499])
@pytest.mark.parametrize("is_ended", [False, True])
def test_process_that_says_it_leaves_before_its_row_is_told_by_its_connection(
    age_ms: int, is_ended: bool
) -> None:
    """Guards against requests to a leaving replica whose row another process wrote.

    This router has met no refused connection, and the difference of two clocks may
    hide that a new process said so. The connections of one that has ended are closed.
    """

    async def session(harness: RouteListenerHarness) -> None:
        ended: list[Step] = [Close()] if is_ended else []
        (upstream,) = await harness.add_replicas(
            1, [answer(extra=SIGNED + LEAVING), *ended]
        )
        upstreams = harness.board.upstreams
        (replica,) = upstreams.replicas.values()
        assert upstream.address is not None
        listed = ListedUpstream(
            replica.replica_id, "talk", "zone-a", upstream.address, False
        )
        upstreams.put(listed, LoadReport(1, 4, 0, 0, 0.0, False), time.monotonic())
        assert (await ask(harness, route_request("/look/1"))).status == 200
        assert replica.is_leaving
        born_ms = int(replica.stated.left_ms) - age_ms
        pool = harness.forwarder._pool
        await harness.wait_for(
            lambda: len(pool.find_open_since(upstream.address)) == (not is_ended)
        )
        load = LoadReport(born_ms, 4, 0, 0, 0.0, False)
        assert upstreams.put(listed, load, time.monotonic()) is not is_ended
        assert replica.incarnation == born_ms
        assert replica.may_receive(time.monotonic()) is is_ended

    run(session)


@pytest.mark.parametrize("incarnation", [0, 1_000])
def test_other_routers_are_told_at_once_of_a_process_that_is_not_listed(
    incarnation: int,
) -> None:
    """Guards against requests from routers that list a replica which this one does not.

    Without its number they would not know which process is meant.
    """

    async def session(harness: RouteListenerHarness) -> None:
        late: list[Step] = [Until(b"second"), answer(extra=SIGNED + LEAVING)]
        replicas = await harness.add_replicas(2, late, [answer(b"second")])
        upstreams = harness.board.upstreams
        for known in upstreams.replicas.values():
            known.incarnation = incarnation
        first = await harness.connect()
        await first.send(route_request("/look/1"))
        await harness.wait_for(lambda: any(one.requests for one in replicas))
        _, replica = find_used(harness, replicas)
        process = replica.process
        assert upstreams.remove(replica.replica_id)
        second = await harness.connect()
        await second.send(route_request("/look/1"))
        await second.receive_until(b"second")
        await first.receive_until(b"done")
        assert harness.announced == ([process] if incarnation else [])
        assert harness.counter("upstream_statements", statement="leaving") == bool(
            incarnation
        )

    run(session)


@pytest.mark.parametrize(
    ("path", "extra", "status", "requests"),
    [
        ("/hold/1", NOT_RUN + LONG_HOLD, 200, 2),
        ("/look/1", LONG_HOLD, 200, 2),
        ("/hold/1", LONG_HOLD, 502, 1),
        ("/hold/1", SIGNED + LONG_HOLD, 502, 1),
        ("/chat/1", NOT_RUN + b"Retry-After: soon\r\n", 200, 2),
    ],
)
def test_replica_that_turns_a_request_away_gets_nothing_for_a_time(
    path: str, extra: bytes, status: int, requests: int
) -> None:
    """Guards against requests within the time for which a replica wants none.

    A refusal without the statement that the request was not run stays a failure.
    """

    async def session(harness: RouteListenerHarness) -> None:
        second = (
            [answer()]
            if path != "/chat/1"
            else [STREAM_HEAD, chunk(event(1)), b"0\r\n\r\n"]
        )
        refusal = [answer(b"", status=503, extra=extra)]
        replicas = await harness.add_replicas(2, refusal, second, *[[answer()]] * 4)
        assert (await ask(harness, route_request(path))).status == status
        assert sum(len(one.requests) for one in replicas) == requests
        for _ in range(4 - requests):
            assert (await ask(harness, route_request("/look/1"))).status == 200
        assert sorted(len(one.requests) for one in replicas) == [1, 3]
        assert harness.counter("upstream_statements", statement="turned-away") == 1
        unusable = harness.counter("upstream_statements", statement="unusable-time")
        assert unusable == (b"soon" in extra)

    run(session)


def test_hold_ends_by_itself_and_not_early() -> None:
    """Guards against requests before the end of a hold, and a hold without an end."""

    async def session(harness: RouteListenerHarness) -> None:
        hold = 0.8
        refusal = answer(
            b"", status=503, extra=NOT_RUN + b"Retry-After: %.1f\r\n" % hold
        )
        replica = (await harness.add_replicas(1, [refusal], [answer()]))[0]
        started_at = time.monotonic()
        assert (await ask(harness, route_request("/look/1"))).status == 200
        assert len(replica.requests) == 2
        assert time.monotonic() - started_at >= hold

    run(session)


@pytest.mark.parametrize(
    ("statement", "earliest", "latest"),
    [(Statement(hold=30.0), 29.0, 50.0), (Statement(is_leaving=True), 0.5, 2.0)],
)
@pytest.mark.parametrize("is_waiting", [False, True])
def test_requests_that_no_replica_will_take_in_time_are_refused_at_once(
    statement: Statement, earliest: float, latest: float, is_waiting: bool
) -> None:
    """Guards against requests that are held until their wait limit in vain.

    A request that already waits is refused when the last replica is out.
    """

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_replicas(2)
        known = list(harness.board.upstreams.replicas.values())
        caller = await harness.connect()

        def note_all() -> None:
            for replica in known:
                harness.board.upstreams.note_answer(
                    replica.process, statement, now=time.monotonic(), spread=0.0
                )

        if is_waiting:
            for replica in known:
                replica.ejected_until = float("inf")
            await caller.send(route_request("/look/1"))
            await harness.wait_for(lambda: len(harness.board.queues) == 1)
        note_all()
        if not is_waiting:
            await caller.send(route_request("/look/1"))
        await caller.receive_until(b"}")
        assert b"upstreams-unavailable" in caller.received
        head = caller.received.lower()
        assert head.startswith(b"http/1.1 503")
        assert b"was not run" in head.replace(b"-", b" ").replace(b"_", b" ")
        retry_after = float(head.split(b"retry-after: ")[1].split(b"\r\n")[0])
        assert earliest <= retry_after <= latest
        assert not any(upstream.requests for upstream in harness.upstreams)

    run(session)


def test_failure_of_a_replica_is_kept_when_no_other_takes_requests() -> None:
    """Guards against replacing a replica's own failure by one of the router."""

    async def session(harness: RouteListenerHarness) -> None:
        failure = answer(b"cause", status=500, extra=SIGNED + LEAVING)
        await harness.add_replicas(1, [failure])
        response = await ask(harness, route_request("/look/1"))
        assert (response.status, response.body) == (500, b"cause")

    run(session)


async def accept(server: socket.socket) -> socket.socket:
    """Accepts a connection in the way of a process apart from the event loop."""
    server.setblocking(False)
    while True:
        try:
            return server.accept()[0]
        except BlockingIOError:
            await curio.sleep(0.002)


@pytest.mark.parametrize(
    "head",
    [
        answer(b"", status=503, extra=NOT_RUN + LONG_HOLD),
        answer(extra=SIGNED + LEAVING),
        b"HTTP/1.1 103 Early Hints\r\n" + LEAVING + b"\r\n" + answer(),
    ],
    ids=["turned-away", "leaving", "interim"],
)
def test_answer_that_arrived_but_was_not_read_counts_before_a_send(
    head: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests sent after an answer that a late event loop left unread.

    The answer to the first request arrives in the pass of the event loop in which
    another request is sent to the same replica.
    """

    async def session(harness: RouteListenerHarness) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        address = Address(*server.getsockname()[:2])
        harness.board.upstreams.replicas["late"] = Replica(
            "late", "talk", "zone-a", address
        )
        first = await harness.connect()
        await first.send(route_request("/look/1"))
        accepted = await accept(server)
        while not harness.board.running or not harness.forwarder._pool._awaited_heads:
            await curio.sleep(0.002)

        async def answer_first(connected: Address) -> None:
            if connected == address:
                accepted.sendall(head)

        call_while_connecting(monkeypatch, answer_first)
        other = await harness.add_upstream(*[lambda _: [answer()]] * 4)
        for _ in range(2):
            caller = await harness.connect()
            await caller.send(route_request("/look/1"))
            await caller.receive_until(b"done")
        await first.receive_until(b"done")
        assert len(other.requests) >= 2
        second = await accept(server)
        second.setblocking(True)
        assert second.recv(65_536) == b"", "a request was sent after the answer"
        for sock in (accepted, second, server):
            sock.close()

    run(session)
