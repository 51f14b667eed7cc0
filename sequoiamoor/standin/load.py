"""Load generator: bounded load of several organisations, with checked answers."""

from __future__ import annotations

import itertools
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
from h11 import RemoteProtocolError
from hdrh.histogram import HdrHistogram

from ..net.http_client import ClientConnection, exchange
from ..timeouts import timeout_after
from ..types import Address
from .generation import make_token_text

REQUEST_TIMEOUT_SECONDS = 60.0
CONNECT_TIMEOUT_SECONDS = 5.0
# A caller without a rate sends its next request right after each answer, but pauses
# after a refusal or a broken connection. Otherwise a router that refuses at once would
# keep the load generator busy with requests that no real caller makes.
FAILURE_PAUSE_SECONDS = 0.2
MAX_RECORDED_MS = 600_000
_TOKEN = b'"i":'


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """The requests of one organisation in one class of work.

    Attributes:
        routers: Routers that receive the requests, chosen at random.
        services: Services called in turn.
        concurrency: Active requests at once; with a rate, their upper limit.
        requests: Number of requests; None means until the load ends.
        rate: Requests per second that arrive independently of answers; None means
            that each of ``concurrency`` callers sends the next one after an answer.
        prompt_tokens: Length of each prompt in tokens.
        median_tokens: Median of the log-normal answer length in tokens.
        spread: Standard deviation of the logarithm of the answer length.
        largest_tokens: Upper limit of the answer length in tokens.
        hint_error: Largest factor by which the cost hint is wrong; None sends no
            hint.
        work_ms: Work of each call to a plain service in milliseconds.
    """

    organisation: str
    class_name: str
    routers: tuple[Address, ...]
    services: tuple[str, ...]
    concurrency: int = 8
    requests: int | None = None
    rate: float | None = None
    prompt_tokens: int = 64
    median_tokens: float = 24.0
    spread: float = 0.5
    largest_tokens: int = 64
    hint_error: float | None = None
    work_ms: float = 20.0


def create_histogram() -> HdrHistogram:
    """Returns an empty histogram of milliseconds."""
    return HdrHistogram(1, MAX_RECORDED_MS, 3)


def to_ms(seconds: float) -> int:
    """Returns a duration in whole milliseconds within the range of a histogram."""
    return max(1, min(round(seconds * 1000), MAX_RECORDED_MS))


@dataclass(slots=True)
class CallerResult:
    """The results of one organisation in one class of work.

    Attributes:
        requests: Requests sent.
        whole: Requests that got their own, complete answer.
        tokens: Tokens of complete answers.
        units: Service units received, including those of unfinished answers.
        skipped: Arrivals not sent because ``concurrency`` requests were active.
        refused: Refusals by code.
        broken: Errors of requests whose answer was visibly incomplete.
        wrong: Errors of answers that looked complete but were incomplete or belonged
            to another request.
        first_token: Milliseconds to the first token of a stream.
        complete: Milliseconds to the complete answer of a plain service.
    """

    organisation: str
    class_name: str
    requests: int = 0
    whole: int = 0
    tokens: int = 0
    units: int = 0
    skipped: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    first_token: HdrHistogram = field(default_factory=create_histogram)
    complete: HdrHistogram = field(default_factory=create_histogram)


class StreamError(Exception):
    """An answer was incomplete or did not belong to the request."""


def check_stream(answer: bytes, call_id: str, body: bytes) -> int:
    """Checks that a stream is complete and belongs to the call and the body.

    Returns:
        The number of tokens.

    Raises:
        StreamError: If the stream is incomplete or belongs to another call or body.
    """
    tokens = int(json.loads(body)["tokens"])
    events = answer.split(b"\n\n")
    if events.pop() != b"" or not events or not events[0].startswith(b"event: start\n"):
        raise StreamError(
            f"the stream is cut or has no start event; it starts with {answer[:120]!r}"
        )
    if events[-1] != b'event: end\ndata: {"id":"%s","tokens":%d}' % (
        call_id.encode(),
        tokens,
    ):
        raise StreamError(
            f"the stream has no valid end event; it ends with {events[-1][:120]!r}"
        )
    received = [event for event in events[1:-1] if _TOKEN in event]
    if len(received) != tokens:
        raise StreamError(f"the stream has {len(received)} tokens instead of {tokens}")
    for index, event in enumerate(received):
        text = make_token_text(call_id, body, index)
        if event != f'data: {{"id":"{call_id}","i":{index},"t":"{text}"}}'.encode():
            raise StreamError(f"token {index} is {event[:120]!r}")
    return tokens


def read_prefilled(event: bytes) -> int:
    """Returns the number of prefilled tokens that a start event states."""
    return int(json.loads(event.partition(b"data: ")[2])["prefilled"])


async def run_together(functions: Iterable[Callable[[], Awaitable[None]]]) -> None:
    """Runs coroutine functions concurrently and raises the error of any of them.

    A curio task group by itself would cancel the others without raising the error.
    """
    async with curio.TaskGroup() as tasks:
        for function in functions:
            await tasks.spawn(function)
    for error in tasks.exceptions:
        if error is not None and not isinstance(error, curio.TaskCancelled):
            raise error


class Caller:
    """Sends the requests of one plan and collects their results."""

    def __init__(self, plan: CallerPlan, kinds: dict[str, str], *, seed: int) -> None:
        self._plan = plan
        self._service_kinds = kinds
        self._request_id_prefix = f"{plan.organisation}-{plan.class_name}-{seed}"
        self._rng = Random(f"{seed}:{plan.organisation}:{plan.class_name}")
        self._request_numbers: Iterable[int] = (
            itertools.count() if plan.requests is None else iter(range(plan.requests))
        )
        self._active_requests = 0
        self._waiting_since: dict[int, float] = {}
        self.result = CallerResult(plan.organisation, plan.class_name)

    @property
    def waiting(self) -> int:
        """Number of active requests without a first token."""
        return len(self._waiting_since)

    @property
    def longest_wait(self) -> float:
        """Seconds for which the oldest request without a first token has waited."""
        oldest = min(self._waiting_since.values(), default=None)
        return 0.0 if oldest is None else time.monotonic() - oldest

    async def run(self) -> None:
        """Sends requests until all are done or the task is cancelled."""
        if self._plan.rate is not None:
            await self._run_open_loop(self._plan.rate)
        else:
            await run_together([self._run_closed_loop] * self._plan.concurrency)

    async def _run_closed_loop(self) -> None:
        for number in self._request_numbers:
            if not await self._request(number):
                await curio.sleep(FAILURE_PAUSE_SECONDS)

    async def _run_open_loop(self, rate: float) -> None:
        next_at = time.monotonic()
        for number in self._request_numbers:
            next_at += self._rng.expovariate(rate)
            await curio.sleep(max(0.0, next_at - time.monotonic()))
            if self._active_requests >= self._plan.concurrency:
                self.result.skipped += 1
                continue
            await curio.spawn(self._request, number, daemon=True)

    async def _request(self, number: int) -> bool:
        """Sends one request and returns whether its answer was complete."""
        result = self.result
        result.requests += 1
        self._active_requests += 1
        self._waiting_since[number] = time.monotonic()
        router = self._rng.choice(self._plan.routers)
        service = self._plan.services[number % len(self._plan.services)]
        try:
            async with timeout_after(REQUEST_TIMEOUT_SECONDS):
                if self._service_kinds[service] == "engine":
                    return await self._stream(router, service, number)
                return await self._call(router, service, number)
        except (StreamError, KeyError, ValueError) as err:
            result.wrong.append(f"{router}: {err!r}")
        except (OSError, RemoteProtocolError, curio.TaskTimeout) as err:
            result.broken.append(f"{router}: {err!r}")
        finally:
            self._active_requests -= 1
            self._waiting_since.pop(number, None)
        return False

    def _record_first_token(self, number: int) -> None:
        started_at = self._waiting_since.pop(number, None)
        if started_at is not None:
            self.result.first_token.record_value(to_ms(time.monotonic() - started_at))

    def _build_body(self) -> tuple[bytes, int]:
        plan = self._plan
        answer_tokens = plan.median_tokens * self._rng.lognormvariate(0.0, plan.spread)
        tokens = max(1, min(round(answer_tokens), plan.largest_tokens))
        document = {
            "prompt_tokens": plan.prompt_tokens,
            "tokens": tokens,
            "nonce": self._rng.getrandbits(32),
        }
        return json.dumps(document).encode(), plan.prompt_tokens + tokens

    def _build_headers(self, cost: float) -> dict[str, str]:
        headers = {
            "x-organisation": self._plan.organisation,
            "x-class": self._plan.class_name,
            "content-type": "application/json",
            "connection": "close",
        }
        error = self._plan.hint_error
        if error is not None:
            factor = error ** self._rng.uniform(-1.0, 1.0)
            headers["x-cost-hint"] = f"{max(1.0, cost * factor):.0f}"
        return headers

    async def _stream(self, router: Address, service: str, number: int) -> bool:
        result = self.result
        body, cost = self._build_body()
        headers = {**self._build_headers(cost), "accept": "text/event-stream"}
        connection = await ClientConnection.connect(
            router, timeout=CONNECT_TIMEOUT_SECONDS
        )
        try:
            path = f"/v1/services/{service}/calls"
            await connection.send_request("POST", path, headers, body)
            response = await connection.receive_response()
            if response.status != 200:
                self._count_refusal(await connection.receive_body())
                return False
            parts: list[bytes] = []
            while (data := await connection.receive_data()) is not None:
                tokens = data.count(_TOKEN)
                if tokens:
                    self._record_first_token(number)
                result.units += tokens
                if not parts and data.startswith(b"event: start"):
                    result.units += read_prefilled(data.split(b"\n\n")[0])
                parts.append(data)
            call_id = response.headers.get("x-call-id", "")
            result.tokens += check_stream(b"".join(parts), call_id, body)
            result.whole += 1
            return True
        finally:
            await connection.close()

    def _count_refusal(self, body: bytes) -> None:
        try:
            code = json.loads(body)["code"]
        except (ValueError, KeyError, TypeError) as err:
            raise StreamError(f"the refusal is malformed: {body[:120]!r}") from err
        self.result.refused[code] += 1

    async def _call(self, router: Address, service: str, number: int) -> bool:
        started_at = time.monotonic()
        request_id = f"{self._request_id_prefix}-{number}"
        headers = self._build_headers(self._plan.work_ms)
        response, body = await exchange(
            router,
            "POST",
            f"/v1/services/{service}/calls",
            body=json.dumps({"work_ms": self._plan.work_ms}).encode(),
            headers={**headers, "x-request-id": request_id},
            timeout=REQUEST_TIMEOUT_SECONDS,
        )
        if response.status != 200:
            self._count_refusal(body)
            return False
        try:
            answered_id = json.loads(body)["request_id"]
        except (ValueError, KeyError, TypeError) as err:
            raise StreamError(f"the answer is malformed: {body[:120]!r}") from err
        if answered_id != request_id:
            raise StreamError(f"the answer to {request_id!r} names {answered_id!r}")
        self.result.complete.record_value(to_ms(time.monotonic() - started_at))
        self.result.whole += 1
        return True


async def run_load(
    plans: list[CallerPlan], kinds: dict[str, str], *, seed: int
) -> list[CallerResult]:
    """Runs plans with a limited number of requests until all are done.

    Args:
        plans: Requests of each group of callers.
        kinds: Kind of each service, ``engine`` or ``plain``.
        seed: Seed of all random choices.
    """
    callers = [Caller(plan, kinds, seed=seed) for plan in plans]
    await run_together([caller.run for caller in callers])
    return [caller.result for caller in callers]


def summarise(results: list[CallerResult]) -> list[dict[str, Any]]:
    """Returns one row per organisation, over all of its classes."""
    total = sum(result.tokens for result in results) or 1
    rows = []
    for organisation in dict.fromkeys(result.organisation for result in results):
        own = [entry for entry in results if entry.organisation == organisation]
        first_token = create_histogram()
        for entry in own:
            first_token.add(entry.first_token)
        tokens = sum(entry.tokens for entry in own)
        rows.append(
            {
                "organisation": organisation,
                "requests": sum(entry.requests for entry in own),
                "whole": sum(entry.whole for entry in own),
                "refused": sum(entry.refused.total() for entry in own),
                "tokens": tokens,
                "share": tokens / total,
                "p50_ms": first_token.get_value_at_percentile(50),
                "p95_ms": first_token.get_value_at_percentile(95),
                "broken": sum(len(entry.broken) for entry in own),
                "wrong": sum(len(entry.wrong) for entry in own),
            }
        )
    return rows
