"""Tests of the shutdown of a real router."""

from __future__ import annotations

import json
import os
import signal
from pathlib import Path
from typing import Any

import curio
import h11
import pytest

from sequoiamoor.net.http_client import ClientConnection
from sequoiamoor.standin.client import fetch
from sequoiamoor.types import Address

from .fleet import (
    call,
    call_async,
    read_counter,
    read_executions,
    run_small_fleet,
    wait_until,
)

pytestmark = pytest.mark.processes


class Stream:
    """A streamed call whose answer the test reads in parts."""

    def __init__(self) -> None:
        self.data = b""
        self.is_whole = False

    async def start(self, address: Address, tokens: int) -> None:
        self.connection = await ClientConnection.connect(address, timeout=10.0)
        headers = {
            "x-organisation": "a",
            "x-class": "chat",
            "accept": "text/event-stream",
        }
        body = json.dumps({"tokens": tokens}).encode()
        path = "/v1/services/talk/calls"
        await self.connection.send_request("POST", path, headers, body)
        await self.connection.receive_response()
        while b"data" not in self.data:
            self.data += await self.connection.receive_data() or b""

    async def read_rest(self) -> None:
        try:
            while (data := await self.connection.receive_data()) is not None:
                self.data += data
            self.is_whole = True
        except (OSError, h11.RemoteProtocolError):
            self.is_whole = False
        await self.connection.close()


def run_stream(router: Address, tokens: int, action: Any) -> Stream:
    stream = Stream()

    async def run() -> None:
        await stream.start(router, tokens)
        await curio.run_in_thread(action)
        async with curio.timeout_after(30):
            await stream.read_rest()

    curio.run(run)
    return stream


def test_first_signal_aborts_no_request() -> None:
    """Guards against a shutdown that aborts streams or queued bookings."""
    with run_small_fleet(1) as (fleet, (router,)):
        process = fleet.processes["router-0"]

        def stop() -> None:
            process.send_signal(signal.SIGTERM)
            wait_until(lambda: fetch(router, "GET", "/readyz")[0] == 503)
            status, _, refusal = call(router, "late")
            assert (status, refusal["code"]) == (503, "leaving")
            assert refusal["execution"] == "was not run"

        stream = run_stream(router, 100, stop)
        assert stream.is_whole
        assert stream.data.endswith(b'"tokens":100}\n\n')
        assert process.wait(20) == 0
        assert read_executions(fleet) == {}


@pytest.mark.parametrize(
    ("settings", "signals", "reason"),
    [
        ({}, 2, "second-signal"),
        ({"options": {"drain_limit": 0.5}}, 1, "drain-limit"),
    ],
)
def test_forced_shutdown_is_reported_to_the_callers(
    settings: dict[str, Any], signals: int, reason: str
) -> None:
    """Guards against an aborted stream that looks complete or is not logged."""
    with run_small_fleet(1, **settings) as (fleet, (router,)):
        process = fleet.processes["router-0"]
        log = Path(os.readlink(f"/proc/{process.pid}/fd/2"))

        def stop() -> None:
            process.send_signal(signal.SIGTERM)
            wait_until(lambda: fetch(router, "GET", "/readyz")[0] == 503)
            if signals == 2:
                process.send_signal(signal.SIGTERM)

        stream = run_stream(router, 5_000, stop)
        assert not stream.is_whole
        last = stream.data.split(b"\n\n")[-2]
        assert last.startswith(b"event: incomplete\n")
        assert b'"execution": "may have run"' in last
        assert process.wait(20) == 1
        lines = log.read_text(encoding="utf-8").splitlines()
        cut_lines = [
            line
            for line in map(json.loads, lines)
            if line["event"] == "request cut off by shutdown"
        ]
        assert [(line["organisation"], line["reason"]) for line in cut_lines] == [
            ("a", reason)
        ]


def test_forced_shutdown_refuses_waiting_calls_as_not_run() -> None:
    """Guards against a queued booking without an answer after a forced end."""
    with run_small_fleet(1, options={"drain_limit": 0.5}) as (fleet, (router,)):
        fleet.processes["desk-0"].kill()
        fleet.processes["desk-0"].wait()
        process = fleet.processes["router-0"]

        async def run() -> tuple[int, dict[str, str], bytes]:
            task = await curio.spawn(call_async, router, "q-1")
            await curio.run_in_thread(
                wait_until, lambda: read_counter(router, "sequoiamoor_waiting_requests")
            )
            process.send_signal(signal.SIGTERM)
            result: tuple[int, dict[str, str], bytes] = await task.join()
            return result

        status, _, data = curio.run(run)
        refusal = json.loads(data)
        assert (status, refusal["code"]) == (503, "leaving")
        assert refusal["execution"] == "was not run"
        assert process.wait(20) == 1
