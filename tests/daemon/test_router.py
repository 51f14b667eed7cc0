"""Tests of the shutdown of a real router."""

from __future__ import annotations

import json
import signal
from typing import Any

import curio
import h11
import pytest

from sequoiamoor.net.http import ClientConnection
from sequoiamoor.standin.client import fetch
from sequoiamoor.types import Address

from .fleet import (
    call,
    read_counter,
    read_executions,
    run_small_fleet,
    wait_until,
)

pytestmark = pytest.mark.processes


class Stream:
    """A streamed call that the test reads in parts."""

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


def test_first_signal_cuts_nothing() -> None:
    """Guards against a shutdown that cuts streams or queued bookings."""
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
    ("settings", "signals"),
    [({}, 2), ({"options": {"drain_limit": 0.5}}, 1)],
)
def test_forced_end_tells_the_callers(settings: dict[str, Any], signals: int) -> None:
    """Guards against a cut stream that looks complete or is not counted."""
    with run_small_fleet(1, **settings) as (fleet, (router,)):
        process = fleet.processes["router-0"]
        assert read_counter(router, "sequoiamoor_running_requests") == 0

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
