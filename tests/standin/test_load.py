"""Tests of the answer checks of the load generator and of its summary."""

from __future__ import annotations

import curio
import pytest

from sequoiamoor.net.http import Request
from sequoiamoor.net.http_server import ServerConnection
from sequoiamoor.standin import load
from sequoiamoor.standin.client import parse_metrics
from sequoiamoor.standin.demo import describe_metrics
from sequoiamoor.standin.generation import make_token_text
from sequoiamoor.standin.load import (
    Caller,
    CallerPlan,
    CallerResult,
    StreamError,
    check_stream,
    run_together,
    summarise,
)
from sequoiamoor.standin.server import send_json
from sequoiamoor.types import Address

from .harness import run_with

BODY = b'{"tokens": 2}'
START = b'event: start\ndata: {"id":"c","prefilled":1,"cached":0}\n\n'
END = b'event: end\ndata: {"id":"c","tokens":2}\n\n'


def token(index: int, call_id: str = "c", body: bytes = BODY) -> bytes:
    text = make_token_text(call_id, body, index)
    return f'data: {{"id":"c","i":{index},"t":"{text}"}}\n\n'.encode()


@pytest.mark.parametrize(
    ("answer", "is_right"),
    [
        (START + token(0) + token(1) + END, True),
        (START + token(0) + START + token(1) + END, True),
        (b"", False),
        (START, False),
        (START + token(0) + token(1), False),
        (START + token(0) + END, False),
        (token(0) + token(1) + END, False),
        (START + token(1) + token(0) + END, False),
        (START + token(0) + token(0) + END, False),
        (START + token(0) + token(1) + END[:-1], False),
        (START + token(0) + token(1, call_id="d") + END, False),
        (START + token(0) + token(1, body=b'{"tokens": 2 }') + END, False),
        (START + token(0) + token(1) + END.replace(b'"c"', b'"d"'), False),
    ],
)
def test_only_whole_own_answers_pass(answer: bytes, is_right: bool) -> None:
    """Guards against a load generator that accepts truncated or foreign answers."""
    if is_right:
        assert check_stream(answer, "c", BODY) == 2
    else:
        with pytest.raises(StreamError):
            check_stream(answer, "c", BODY)


def test_summary_merges_the_classes_of_an_organisation() -> None:
    """Guards against shares that are computed per class instead of organisation."""
    results = [
        CallerResult("a", "chat", requests=2, whole=2, tokens=30),
        CallerResult("b", "chat", requests=1, whole=0, tokens=10, wrong=["x"]),
        CallerResult("a", "summary", requests=1, whole=1, tokens=40),
    ]
    results[0].first_token.record_value(10)
    results[2].first_token.record_value(30)
    first, second = summarise(results)
    assert (first["organisation"], first["whole"], first["share"]) == ("a", 3, 0.875)
    assert (first["p50_ms"], first["p95_ms"]) == (10, 30)
    assert (second["requests"], second["wrong"]) == (1, 1)


PAGE = """
sequoiamoor_served_units_total{service="talk",organisation="a"} 7
sequoiamoor_served_units_total{service="talk",organisation="b"} 5
sequoiamoor_fairness_gap_units{service="talk"} GAP
sequoiamoor_utilisation_ratio{service="talk"} 0.5
sequoiamoor_waiting_requests 3
sequoiamoor_control_bytes_total{direction="out"} 100
"""


@pytest.mark.parametrize(
    ("pages", "expected"),
    [
        (
            [["", ""], [PAGE.replace("GAP", "9"), PAGE.replace("GAP", "4")]],
            [
                "talk: served 24 units, largest fairness gap 9 units "
                "(n/a s of capacity), utilisation while requests wait 50.0%",
                "control traffic sent per router: 50.0 bytes/s, n/a messages/s",
                "control traffic received per router: n/a bytes/s, n/a messages/s",
                "most requests waiting: 6",
            ],
        ),
        (
            [[""]],
            [
                "control traffic sent per router: n/a bytes/s, n/a messages/s",
                "control traffic received per router: n/a bytes/s, n/a messages/s",
                "most requests waiting: 0",
            ],
        ),
    ],
)
def test_absent_series_are_said_to_be_absent(
    pages: list[list[str]], expected: list[str]
) -> None:
    """Guards against printing zero for a metric that no router exports."""
    reads = [[parse_metrics(text) for text in page] for page in pages]
    assert describe_metrics(reads, seconds=2.0) == expected


def test_error_of_a_caller_is_raised() -> None:
    """Guards against a load that ends early with an error and looks complete."""

    async def fail() -> None:
        raise KeyError("x")

    async def wait() -> None:
        await curio.sleep(600)

    with pytest.raises(KeyError):
        curio.run(run_together, [fail, wait])


@pytest.mark.parametrize(("rate", "expected"), [(None, 3), (500.0, 30)])
def test_refused_callers_pause_unless_arrivals_are_given(
    rate: float | None, expected: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refused callers that retry at once and overload the generator."""
    monkeypatch.setattr(load, "FAILURE_PAUSE_SECONDS", 600.0)

    class Refusing:
        async def handle(self, connection: ServerConnection, request: Request) -> None:
            await send_json(connection, 503, {"code": "full"})

    async def client(address: Address) -> tuple[int, CallerResult]:
        plan = CallerPlan(
            "a", "chat", (address,), ("t",), concurrency=3, requests=30, rate=rate
        )
        caller = Caller(plan, {"t": "engine"}, seed=1)
        task = await curio.spawn(caller.run, daemon=True)
        result = caller.result
        while result.refused["full"] + result.skipped < expected:
            await curio.sleep(0.005)
        # Without the pause, further requests would follow at once.
        await curio.sleep(0.05)
        await task.cancel()
        return result.requests + result.skipped, result

    count, result = run_with(Refusing(), client)
    assert count == expected
    assert (result.whole, result.wrong, result.broken) == (0, [], [])
