"""A bounded load of several organisations on a fleet, with checked answers."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
import xxhash
from h11 import RemoteProtocolError as ProtocolViolation
from hdrh.histogram import HdrHistogram

from ..net.http import ClientConnection, exchange
from ..types import Address

REQUEST_TIMEOUT_SECONDS = 60.0
LARGEST_MS = 600_000


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """What the callers of one organisation do.

    Attributes:
        concurrency: Requests under way at once.
        routers: Routers that the callers reach.
        services: Services asked in turn.
        tokens: Range of answer lengths.
    """

    organisation: str
    class_name: str
    concurrency: int
    requests: int
    routers: tuple[Address, ...]
    services: tuple[str, ...]
    tokens: tuple[int, int] = (8, 64)


@dataclass(slots=True)
class CallerResult:
    """What the callers of one organisation saw."""

    organisation: str
    requests: int = 0
    whole: int = 0
    tokens: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LARGEST_MS, 3)
    )


class StreamError(Exception):
    """An answer was not whole or not the caller's own."""


def check_stream(body: bytes, call_id: str, tokens: int) -> None:
    """Checks that a stream is whole and belongs to the call.

    Raises:
        StreamError: If it is not.
    """
    events = body.split(b"\n\n")
    if events.pop() != b"" or not events[0].startswith(b"event: start\n"):
        raise StreamError("the stream has no start")
    if events[-1] != b'event: end\ndata: {"id":"%s","tokens":%d}' % (
        call_id.encode(),
        tokens,
    ):
        raise StreamError(f"the stream ends with {events[-1][:120]!r}")
    if len(events) != tokens + 2:
        raise StreamError(f"{len(events) - 2} tokens came instead of {tokens}")
    for index, event in enumerate(events[1:-1]):
        text = xxhash.xxh32_hexdigest(f"{call_id}:{index}".encode())
        expected = f'data: {{"id":"{call_id}","i":{index},"t":"{text}"}}'
        if event != expected.encode():
            raise StreamError(f"token {index} is {event[:120]!r}")


async def _stream(
    plan: CallerPlan, router: Address, service: str, tokens: int, result: CallerResult
) -> None:
    connection = await ClientConnection.connect(router, timeout=5.0)
    try:
        body = json.dumps({"prompt_tokens": 64, "tokens": tokens}).encode()
        headers = {
            "x-organisation": plan.organisation,
            "x-class": plan.class_name,
            "accept": "text/event-stream",
            "content-type": "application/json",
        }
        began = time.monotonic()
        path = f"/v1/services/{service}/calls"
        await connection.send_request("POST", path, headers, body)
        response = await connection.receive_response()
        if response.status != 200:
            _count_refusal(result, await connection.receive_body())
            return
        parts = [await connection.receive_data() or b""]
        elapsed_ms = int((time.monotonic() - began) * 1000)
        result.first_token.record_value(max(1, min(elapsed_ms, LARGEST_MS)))
        parts.append(await connection.receive_body())
        check_stream(b"".join(parts), response.headers["x-call-id"], tokens)
        result.whole += 1
        result.tokens += tokens
    finally:
        await connection.close()


def _count_refusal(result: CallerResult, body: bytes) -> None:
    code = json.loads(body)["code"]
    result.refused[code] = result.refused.get(code, 0) + 1


async def _call(
    plan: CallerPlan, router: Address, service: str, number: int, result: CallerResult
) -> None:
    request_id = f"{plan.organisation}-{number}"
    headers = {
        "x-organisation": plan.organisation,
        "x-class": plan.class_name,
        "x-request-id": request_id,
        "content-type": "application/json",
    }
    response, body = await exchange(
        router,
        "POST",
        f"/v1/services/{service}/calls",
        body=b'{"work_ms": 20}',
        headers=headers,
        timeout=REQUEST_TIMEOUT_SECONDS,
    )
    if response.status != 200:
        _count_refusal(result, body)
        return
    if json.loads(body)["request_id"] != request_id:
        raise StreamError(f"the answer to {request_id!r} is another one's")
    result.whole += 1


async def run_caller(
    plan: CallerPlan, kinds: dict[str, str], *, seed: int
) -> CallerResult:
    """Runs the callers of one organisation until their requests are done."""
    result = CallerResult(plan.organisation)
    rng = Random(f"{seed}:{plan.organisation}")
    numbers = iter(range(plan.requests))

    async def work() -> None:
        for number in numbers:
            result.requests += 1
            router = rng.choice(plan.routers)
            service = plan.services[number % len(plan.services)]
            tokens = rng.randint(*plan.tokens)
            try:
                if kinds[service] == "engine":
                    await _stream(plan, router, service, tokens, result)
                else:
                    await _call(plan, router, service, number, result)
            except (OSError, ProtocolViolation, StreamError, ValueError) as err:
                result.faults.append(repr(err))

    async with curio.TaskGroup() as tasks:
        for _ in range(plan.concurrency):
            await tasks.spawn(work)
    return result


async def run_load(
    plans: list[CallerPlan], kinds: dict[str, str], *, seed: int
) -> list[CallerResult]:
    """Runs the callers of all organisations at once."""
    async with curio.TaskGroup() as tasks:
        running = [
            await tasks.spawn(lambda p=plan: run_caller(p, kinds, seed=seed))
            for plan in plans
        ]
    return [task.result for task in running]


def summarise(results: list[CallerResult]) -> list[dict[str, Any]]:
    """Returns one row per organisation."""
    total = sum(result.tokens for result in results) or 1
    return [
        {
            "organisation": result.organisation,
            "requests": result.requests,
            "whole": result.whole,
            "refused": sum(result.refused.values()),
            "tokens": result.tokens,
            "share": result.tokens / total,
            "p50_ms": result.first_token.get_value_at_percentile(50),
            "p95_ms": result.first_token.get_value_at_percentile(95),
            "faults": len(result.faults),
        }
        for result in results
    ]
