"""Tests of the engine stand-in."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import curio
import h11
import pytest

from sequoiamoor.standin.engine import EngineStandIn
from sequoiamoor.standin.generation import PrefixCache, make_token_text
from sequoiamoor.types import Address

from .harness import generate, open_stream, run_with, send

BODY = b'{"prompt_tokens": 8, "tokens": 6}'


def build_engine(**options: Any) -> EngineStandIn:
    fast: dict[str, Any] = {"token_interval": 0.001, "load_lag": 0.0, "cache_lag": 0.0}
    return EngineStandIn("e", rng=Random(1), **{**fast, **options})


def read_tokens(events: list[bytes]) -> list[tuple[int, str]]:
    tokens = [json.loads(event[6:]) for event in events if event.startswith(b"data")]
    return [(token["i"], token["t"]) for token in tokens]


@pytest.mark.parametrize("resume_from", [0, 1, 5, 6])
def test_resumed_answer_continues_the_same_text(resume_from: int) -> None:
    """Guards against a resumed stream whose text differs from the interrupted one."""

    async def client(address: Address) -> list[bytes]:
        return await generate(address, "c1", BODY, {"x-resume-from": str(resume_from)})

    engine = build_engine()
    events = run_with(engine, client)
    assert events[0].startswith(b"event: start\n")
    assert read_tokens(events[1:-1]) == [
        (index, make_token_text("c1", BODY, index)) for index in range(resume_from, 6)
    ]
    assert events[-1] == b'event: end\ndata: {"id":"c1","tokens":6}'
    assert engine.counts.generated["a"] == 6 - resume_from
    assert engine.counts.prefilled["a"] == 8 + resume_from


@pytest.mark.parametrize(
    ("running", "expected"),
    [(0, 0.5), (1, 0.5625), (8, 1.0), (16, 2.0), (80, 10.0)],
)
def test_throughput_stops_growing_beyond_the_slots(
    running: int, expected: float
) -> None:
    """Guards against an engine whose capacity grows without limit."""
    engine = build_engine(slots=8, token_interval=1.0)
    assert engine._compute_step_seconds(running) == expected


def test_prefill_is_shared_in_order_of_arrival() -> None:
    """Guards against prefill whose speed does not depend on the prompts ahead."""

    async def client(address: Address) -> list[str]:
        ended: list[str] = []
        long = b'{"prompt_tokens": 400, "tokens": 1}'
        first = await open_stream(address, "long", long)

        async def read_first() -> None:
            await first.receive_body()
            ended.append("long")

        async def read_second() -> None:
            await generate(address, "short", b'{"prompt_tokens": 1, "tokens": 9}')
            ended.append("short")

        async with curio.TaskGroup() as tasks:
            await tasks.spawn(read_first)
            await tasks.spawn(read_second)
        await first.close()
        return ended

    engine = build_engine(token_interval=0.01, prefill_rate=4_000.0)
    assert run_with(engine, client) == ["long", "short"]


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "message"),
    [
        ("/v1/generate", BODY, {}, 400, "X-Call-Id"),
        ("/v1/generate", BODY, {"x-call-id": 'a"b'}, 400, "X-Call-Id"),
        ("/v1/generate", b"{", {"x-call-id": "c"}, 400, "JSON"),
        ("/v1/generate", b'{"tokens": -1}', {"x-call-id": "c"}, 400, "tokens"),
        (
            "/v1/generate",
            BODY,
            {"x-call-id": "c", "x-resume-from": "7"},
            400,
            "6 tokens",
        ),
        (
            "/v1/generate",
            BODY,
            {"x-call-id": "c", "x-resume-from": "-1"},
            400,
            "X-Resume-From",
        ),
        ("/v1/cache-events?after=x", b"", {}, 400, "after"),
        ("/v1/orders", b'{"order": "halt"}', {}, 400, "order"),
        ("/admin/faults", b'{"delay_ms": -5}', {}, 400, "delay_ms"),
        ("/nowhere", b"", {}, 404, "/nowhere"),
    ],
)
def test_wrong_input_is_refused(
    path: str, body: bytes, headers: dict[str, str], status: int, message: str
) -> None:
    """Guards against a stand-in that stops or hangs on invalid input."""

    async def client(address: Address) -> Any:
        refusal = await send(address, "POST", path, body, headers)
        await generate(address, "after", BODY)
        return refusal

    got, document = run_with(build_engine(), client)
    assert got == status
    assert message in document["message"]


@pytest.mark.parametrize(
    ("faults", "tokens", "is_broken", "event_id"),
    [
        ({"break_after_tokens": 2}, 2, True, "c1"),
        ({"truncate_after_tokens": 3}, 3, False, "c1"),
        ({"foreign_call_id": "events"}, 6, False, "c1-other"),
        ({"delay_ms": 1}, 6, False, "c1"),
    ],
)
def test_faults_apply_to_as_many_requests_as_told(
    faults: dict[str, Any], tokens: int, is_broken: bool, event_id: str
) -> None:
    """Guards against fault switches that have no effect or affect too many requests."""

    async def client(address: Address) -> tuple[bytes, bool, list[bytes]]:
        await send(address, "POST", "/admin/faults", {**faults, "remaining": 1})
        connection = await open_stream(address, "c1", BODY)
        parts = []
        try:
            while (data := await connection.receive_data()) is not None:
                parts.append(data)
            broke = False
        except (h11.RemoteProtocolError, OSError):
            broke = True
        await connection.close()
        return b"".join(parts), broke, await generate(address, "c2", BODY)

    answer, broke, second = run_with(build_engine(), client)
    assert broke == is_broken
    assert answer.count(b'"i":') == tokens
    assert f'"id":"{event_id}"'.encode() in answer
    assert (b"event: end" in answer) == (tokens == 6)
    assert len(read_tokens(second[1:-1])) == 6


def test_foreign_head_names_another_call() -> None:
    """Guards against a fault switch that does not change the response head."""

    async def client(address: Address) -> str | None:
        await send(address, "POST", "/admin/faults", {"foreign_call_id": "head"})
        with pytest.raises(AssertionError, match="c1-other"):
            await generate(address, "c1", BODY)
        return None

    run_with(build_engine(), client)


def test_closing_the_connection_cancels() -> None:
    """Guards against an engine that keeps generating after the caller disconnected."""

    async def client(address: Address) -> dict[str, Any]:
        connection = await open_stream(address, "c1", b'{"tokens": 1000000}')
        await connection.receive_data()
        await connection.close()
        while True:
            counts = (await send(address, "GET", "/admin/counts"))[1]
            if counts["cancelled"]:
                return counts
            await curio.sleep(0.005)

    counts = run_with(build_engine(), client)
    assert counts["running"] == 0
    assert counts["busy_slot_seconds"] > 0


def test_cached_prefix_is_not_prefilled_again() -> None:
    """Guards against a cache that publishes prefixes but does not save prefill."""

    async def client(address: Address) -> Any:
        body = b'{"prompt_tokens": 10, "prefix_tokens": 7, "tokens": 1}'
        starts = [
            (await generate(address, f"c{number}", body, {"x-prefix-key": "p"}))[0]
            for number in range(2)
        ]
        events = await send(address, "GET", "/v1/cache-events?after=0")
        return starts, events[1]["events"]

    starts, events = run_with(build_engine(cache_loss=0.0), client)
    assert [json.loads(start.split(b"data: ")[1]) for start in starts] == [
        {"id": "c0", "prefilled": 10, "cached": 0},
        {"id": "c1", "prefilled": 3, "cached": 7},
    ]
    assert events == [{"seq": 1, "prefix_key": "p", "kind": "stored"}]


def test_cache_evicts_and_publishes_late_and_with_gaps() -> None:
    """Guards against cache events without the lag and gaps of a real engine."""
    cache = PrefixCache(capacity=10, lag=2.0, loss=0.0, rng=Random(1))
    for number, key in enumerate(["a", "b", "c"]):
        cache.store(key, 5, float(number))
    assert [cache.match(key, 9) for key in "abc"] == [0, 5, 5]
    assert [event["seq"] for event in cache.list_events(0, 3.0)] == [1, 2]
    assert [event["kind"] for event in cache.list_events(2, 4.0)] == [
        "stored",
        "evicted",
    ]
    gaps = PrefixCache(capacity=10_000, lag=0.0, loss=0.5, rng=Random(1))
    for number in range(100):
        gaps.store(str(number), 1, 0.0)
    assert 0 < len(gaps.list_events(0, 0.0)) < 100


@pytest.mark.parametrize(
    ("checks", "numbers", "statuses"),
    [
        (True, [5, 5, 4, 6], [200, 200, 409, 200]),
        (False, [5, 4, 6], [200, 200, 200]),
    ],
)
def test_orders_with_a_stale_fencing_number(
    checks: bool, numbers: list[int], statuses: list[int]
) -> None:
    """Guards against an engine that ignores the switch for fencing checks."""

    async def client(address: Address) -> list[tuple[int, Any]]:
        return [
            await send(
                address,
                "POST",
                "/v1/orders",
                {"order": "load-model", "wanted": "m", "fencing_number": number},
            )
            for number in numbers
        ]

    answers = run_with(build_engine(checks_fencing=checks), client)
    assert [status for status, _ in answers] == statuses
    for status, document in answers:
        assert (document.get("code") == "stale-fencing-number") == (status == 409)


@pytest.mark.parametrize(("lag", "expected"), [(0.0, True), (1000.0, False)])
def test_load_report_lags(lag: float, expected: bool) -> None:
    """Guards against a leaving flag that is reported without the load lag."""

    async def client(address: Address) -> Any:
        await send(address, "POST", "/admin/leaving", {"leaving": True})
        return (await send(address, "GET", "/v1/load"))[1]

    report = run_with(build_engine(load_lag=lag), client)
    assert report["leaving"] is expected
    assert report["slots"] == 8
