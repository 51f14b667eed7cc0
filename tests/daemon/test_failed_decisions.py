"""Tests of requests beside decisions of the router that fail."""

from __future__ import annotations

from typing import Any

import pytest

from sequoiamoor.daemon.dispatcher import Dispatcher
from sequoiamoor.policies.round_robin import RoundRobinPolicy

from ..listener_harness import chunk, parse
from ..route_listener_harness import (
    STREAM_HEAD,
    RouteListenerHarness,
    answer,
    event,
    route_request,
    run,
)

STREAM = [STREAM_HEAD, chunk(event(1)), b"0\r\n\r\n"]


def fail(*arguments: object, **options: object) -> Any:
    raise LookupError("a decision failed")


def raise_once(function: Any) -> Any:
    """Returns a function that fails the first time it is called."""
    calls = iter([True])

    def call(*arguments: Any) -> Any:
        if next(calls, False):
            fail()
        return function(*arguments)

    return call


@pytest.mark.parametrize("path", ["/look/1", "/hold/1", "/chat/1"])
@pytest.mark.parametrize(
    ("target", "method"),
    [
        (RoundRobinPolicy, "finish"),
        (RoundRobinPolicy, "record_first_event"),
        (RoundRobinPolicy, "find_wait_limit"),
        (Dispatcher, "_log_choices"),
        (Dispatcher, "_refuse_unserved"),
    ],
)
def test_failed_decision_ends_no_request(
    target: Any, method: str, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that end because of a decision about all of them.

    A kept connection goes on: the caller's next request may be on its way.
    """
    monkeypatch.setattr(target, method, fail)

    async def session(harness: RouteListenerHarness) -> None:
        script = STREAM if path == "/chat/1" else [answer()]
        await harness.add_replicas(1, script, script)
        caller = await harness.connect()
        for _ in range(2):
            caller.received = b""
            await caller.send(route_request(path))
            end = b"0\r\n\r\n" if path == "/chat/1" else b"done"
            await caller.receive_until(end)
            assert parse(caller.received).status == 200
        assert harness.counter("caller_connections_ended", reason="fault") == 0

    run(session)


def test_failed_choice_is_made_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that waits forever for a choice that failed once."""
    method = raise_once(RoundRobinPolicy.choose_start)
    monkeypatch.setattr(RoundRobinPolicy, "choose_start", method)

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_replicas(1, [answer()])
        caller = await harness.connect()
        await caller.send(route_request("/hold/1"))
        await harness.wait_for(lambda: len(harness.board.queues) == 1)
        await harness.forwarder.dispatch("talk")
        await caller.receive_until(b"done")
        assert parse(caller.received).status == 200

    run(session)


def test_choice_that_never_succeeds_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a failure without the promise that nothing was run."""
    monkeypatch.setattr(RoundRobinPolicy, "choose_start", fail)

    async def session(harness: RouteListenerHarness) -> None:
        (upstream,) = await harness.add_replicas(1, [answer()])
        caller = await harness.connect()
        await caller.send(route_request("/quick/1"))
        await caller.receive_until(b"}")
        response = parse(caller.received)
        assert (response.status, response.refusal["execution"]) == (503, "was not run")
        assert not upstream.requests

    run(session)
