"""Stand-in for a model engine with continuous batching and a prefix cache.

One task per engine advances all running requests by one step at a time. This costs
far less CPU than one timer per request.
"""

from __future__ import annotations

import re
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any, Literal
from urllib.parse import parse_qs

import curio
import xxhash
from pydantic import ConfigDict, Field

from ..net.http import Request
from ..types import Address
from .generation import Generation, PrefixCache
from .server import (
    BadInputError,
    Body,
    StandInConnection,
    UpstreamFaults,
    check_method,
    parse_body,
    send_json,
    serve_http,
)
from .upstream import UpstreamStandIn

MAX_PROMPT_OR_ANSWER_TOKENS = 1_000_000
# Time for which a delayed process catches up on its steps, so that the capacity stays
# exact when the machine is busy for a moment.
MAX_CATCH_UP_SECONDS = 0.25
_CALL_ID = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
_NO_ORGANISATION = "unknown"


class GenerateBody(Body):
    """Body of ``POST /v1/generate``; other fields are ignored."""

    model_config = ConfigDict(extra="ignore")

    prompt_tokens: int = Field(16, ge=0, le=MAX_PROMPT_OR_ANSWER_TOKENS)
    prefix_tokens: int | None = Field(None, ge=0, le=MAX_PROMPT_OR_ANSWER_TOKENS)
    tokens: int = Field(32, ge=0, le=MAX_PROMPT_OR_ANSWER_TOKENS)


class Order(Body):
    """Body of ``POST /v1/orders``."""

    order: Literal["load-model", "load-adapter", "set-role"]
    wanted: Any
    fencing_number: int = Field(ge=0)


class EngineFaults(UpstreamFaults):
    """Fault switches of an engine.

    Attributes:
        break_after_tokens: Tokens after which the connection is closed.
        truncate_after_tokens: Tokens after which the answer ends without its end
            event, but with the terminating chunk.
        foreign_call_id: Part of the response that names another call.
    """

    break_after_tokens: int | None = Field(None, ge=0)
    truncate_after_tokens: int | None = Field(None, ge=0)
    foreign_call_id: Literal["nowhere", "head", "events"] = "nowhere"


@dataclass(slots=True)
class EngineCounts:
    """Counters of the engine since its start.

    Attributes:
        requests: Accepted requests.
        completed: Requests whose response was sent up to the terminating chunk.
        cancelled: Requests whose caller disconnected first.
        resumed: Requests that resumed an answer.
        faults: Requests with a fault.
        busy_slot_seconds: Time in use, summed over the slots.
        generated: Generated tokens by organisation.
        prefilled: Prefilled tokens by organisation: uncached prompt tokens and, of
            resumed requests, the answer tokens before the resume index.
        cached: Prompt tokens found in the cache by organisation.
    """

    requests: int = 0
    completed: int = 0
    cancelled: int = 0
    resumed: int = 0
    faults: int = 0
    busy_slot_seconds: float = 0.0
    generated: Counter[str] = field(default_factory=Counter)
    prefilled: Counter[str] = field(default_factory=Counter)
    cached: Counter[str] = field(default_factory=Counter)


class EngineStandIn(UpstreamStandIn[EngineFaults]):
    """A model engine that generates tokens in steps for all running requests.

    With ``n`` running requests a step takes ``token_interval * max((1 + n / slots)
    / 2, n / slots)`` seconds: each request gets slower as the batch grows, and
    beyond ``slots`` requests the throughput grows no further. All requests share
    ``prefill_rate`` prompt tokens per second, first come, first served.

    Args:
        replica: Identifier of the replica.
        slots: Running requests beyond which the throughput grows no further.
        token_interval: Seconds per step while all slots are in use.
        prefill_rate: Prefilled tokens per second.
        load_lag: Seconds until a change of the load is reported.
        cache_tokens: Tokens that fit into the prefix cache.
        cache_lag: Seconds until a cache event is listed.
        cache_loss: Fraction of the cache events that are never listed.
        checks_fencing: Whether orders with a stale fencing number are refused.
        rng: Chooses the cache events that are never listed.
    """

    def __init__(
        self,
        replica: str,
        *,
        slots: int = 8,
        token_interval: float = 0.02,
        prefill_rate: float = 8_000.0,
        load_lag: float = 0.5,
        cache_tokens: int = 20_000,
        cache_lag: float = 0.5,
        cache_loss: float = 0.05,
        checks_fencing: bool = True,
        rng: Random | None = None,
    ) -> None:
        super().__init__(replica, slots=slots, load_lag=load_lag, faults=EngineFaults)
        self._token_interval = token_interval
        self._prefill_rate = prefill_rate
        self._checks_fencing = checks_fencing
        self._cache = PrefixCache(
            cache_tokens, cache_lag, cache_loss, rng=rng or Random()
        )
        self._started_at = time.monotonic()
        # Ordered by arrival, which is the order of prefill.
        self._running: dict[Generation, None] = {}
        self._has_work = curio.Event()
        self._last_fencing_number = 0
        self._orders: list[dict[str, Any]] = []
        self.counts = EngineCounts()

    async def handle(self, connection: StandInConnection, request: Request) -> None:
        """Answers one request."""
        match request.path:
            case "/v1/generate":
                check_method(request, "POST")
                await self._generate(connection, request)
            case "/v1/cache-events":
                events = self._cache.list_events(
                    _parse_after(request), time.monotonic()
                )
                await send_json(connection, 200, {"events": events})
            case "/v1/orders":
                check_method(request, "POST")
                status, document = self._handle_order(parse_body(Order, request))
                await send_json(connection, status, document)
            case _:
                await super().handle(connection, request)

    async def run_steps(self) -> None:
        """Advances all running requests step by step until cancelled."""
        next_at = time.monotonic()
        while True:
            if not self._running:
                self._has_work.clear()
                await self._has_work.wait()
                next_at = time.monotonic()
            duration = self._compute_step_seconds(len(self._running))
            next_at = max(next_at + duration, time.monotonic() - MAX_CATCH_UP_SECONDS)
            await curio.sleep(max(0.0, next_at - time.monotonic()))
            busy = min(len(self._running), self._slots)
            self.counts.busy_slot_seconds += busy * duration
            budget = max(1, round(duration * self._prefill_rate))
            for generation in list(self._running):
                budget -= self._advance(generation, budget)
                if generation.is_done and (
                    generation.is_broken or not generation.unsent
                ):
                    self._running.pop(generation, None)
                    self._update_load()
                    await generation.finished.set()

    def _compute_step_seconds(self, running: int) -> float:
        load = running / self._slots
        return self._token_interval * max((1 + load) / 2, load)

    def _advance(self, generation: Generation, budget: int) -> int:
        """Advances a request by one step and returns the tokens it prefilled."""
        used = min(generation.prefill_left, budget)
        generation.prefill_left -= used
        if generation.prefill_left == 0:
            self._decode(generation)
        return used

    def _decode(self, generation: Generation) -> None:
        if not generation.is_done:
            if not generation.is_started:
                self._start(generation)
            if generation.index == generation.break_at:
                generation.is_done = generation.is_broken = True
                return
            if generation.index == generation.end_at:
                generation.is_done = True
            elif generation.index < generation.tokens:
                generation.add_token()
                self.counts.generated[generation.organisation] += 1
            if generation.index == generation.tokens and not generation.is_done:
                end = {"id": generation.event_id, "tokens": generation.tokens}
                generation.add_event("end", end)
                generation.is_done = True
        generation.flush()

    def _start(self, generation: Generation) -> None:
        generation.is_started = True
        self.counts.prefilled[generation.organisation] += generation.prefilled
        self.counts.cached[generation.organisation] += generation.cached
        if generation.prefix_key is not None:
            self._cache.store(
                generation.prefix_key, generation.prefix_tokens, time.monotonic()
            )
        start = {
            "id": generation.event_id,
            "prefilled": generation.prefilled,
            "cached": generation.cached,
        }
        generation.add_event("start", start)

    async def _generate(self, connection: StandInConnection, request: Request) -> None:
        generation = self._create_generation(connection, request)
        self.counts.requests += 1
        faults = self._consume_faults()
        self._record_start()
        head_call_id = generation.call_id
        if faults is not None:
            self.counts.faults += 1
            generation.break_at = faults.break_after_tokens
            generation.end_at = faults.truncate_after_tokens
            if faults.foreign_call_id == "head":
                head_call_id += "-other"
            elif faults.foreign_call_id == "events":
                generation.event_id += "-other"
            await curio.sleep(faults.delay_ms / 1000)
        headers = {"content-type": "text/event-stream", "x-call-id": head_call_id}
        await connection.start_stream(200, headers)
        self._running[generation] = None
        self._update_load()
        await self._has_work.set()
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(generation.finished.wait)
                await tasks.spawn(connection.wait_closed)
        finally:
            self._running.pop(generation, None)
            self._update_load()
            if generation.is_lost or not generation.is_done:
                self.counts.cancelled += 1
        if generation.is_broken or not generation.is_done:
            await connection.close()
            raise ConnectionAbortedError("the answer was broken off before its end")
        self.counts.completed += 1
        await connection.end_stream()

    def _create_generation(
        self, connection: StandInConnection, request: Request
    ) -> Generation:
        call_id = request.headers.get("x-call-id", "")
        if not _CALL_ID.match(call_id):
            raise BadInputError(
                f"X-Call-Id {call_id!r} is invalid; send 1 to 128 letters, digits, "
                "'.', '_', ':' or '-'"
            )
        body = parse_body(GenerateBody, request)
        index = _parse_count(request.headers.get("x-resume-from", "0"), "X-Resume-From")
        if index > body.tokens:
            raise BadInputError(
                f"X-Resume-From is {index}, but the answer has {body.tokens} tokens"
            )
        prefix_key = request.headers.get("x-prefix-key")
        prefix_tokens = min(
            body.prompt_tokens if body.prefix_tokens is None else body.prefix_tokens,
            body.prompt_tokens,
        )
        cached = (
            0 if prefix_key is None else self._cache.match(prefix_key, prefix_tokens)
        )
        # A resumed request also prefills the answer tokens before its index.
        prefilled = body.prompt_tokens - cached + index
        if index:
            self.counts.resumed += 1
        return Generation(
            connection,
            request.headers.get("x-organisation", _NO_ORGANISATION),
            event_id=call_id,
            seed=xxhash.xxh32_intdigest(request.body),
            call_id=call_id,
            prefill_left=prefilled,
            prefilled=prefilled,
            cached=cached,
            index=index,
            tokens=body.tokens,
            break_at=None,
            end_at=None,
            prefix_key=prefix_key,
            prefix_tokens=prefix_tokens,
        )

    def _count_load(self) -> tuple[int, int]:
        return len(self._running), 0

    def _compute_token_rate(self, running: int) -> float:
        return running / self._compute_step_seconds(running)

    def _handle_order(self, order: Order) -> tuple[int, dict[str, Any]]:
        if self._checks_fencing and order.fencing_number < self._last_fencing_number:
            return 409, {
                "code": "stale-fencing-number",
                "message": f"fencing number {order.fencing_number} is below "
                f"{self._last_fencing_number}; take the lease again",
                "fencing_number": self._last_fencing_number,
            }
        self._last_fencing_number = max(self._last_fencing_number, order.fencing_number)
        self._orders.append(order.model_dump())
        return 200, {"order": order.order, "wanted": order.wanted}

    def _report_counts(self) -> dict[str, Any]:
        counts = self.counts
        return {
            "replica": self._replica,
            "slots": self._slots,
            "capacity_tokens_per_second": self._slots / self._token_interval,
            "elapsed_seconds": time.monotonic() - self._started_at,
            "busy_slot_seconds": counts.busy_slot_seconds,
            "requests": counts.requests,
            "running": len(self._running),
            "completed": counts.completed,
            "cancelled": counts.cancelled,
            "resumed": counts.resumed,
            "faults": counts.faults,
            "generated": counts.generated,
            "prefilled": counts.prefilled,
            "cached": counts.cached,
            "orders": self._orders,
            "last_start_after_leaving_seconds": self._last_start_after_leaving_seconds,
        }


def _parse_count(text: str, name: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise BadInputError(f"{name} is {text!r}; send a whole number from 0 on")
    return int(text)


def _parse_after(request: Request) -> int:
    values = parse_qs(request.query, keep_blank_values=True).get("after", ["0"])
    return _parse_count(values[-1], "after")


async def serve_engine(address: Address, engine: EngineStandIn) -> None:
    """Serves an engine until cancelled."""
    async with curio.TaskGroup(wait=any) as tasks:
        await tasks.spawn(engine.run_steps)
        await tasks.spawn(serve_http, address, engine.handle)
    # Raises the error of the task that ended first.
    tasks.result  # noqa: B018


def run_engine(
    address: Address,
    *,
    replica: str,
    slots: int,
    token_interval: float,
    load_lag: float,
    cache_tokens: int,
    checks_fencing: bool,
    seed: int | None,
) -> None:
    """Runs the stand-in until the process ends."""
    engine = EngineStandIn(
        replica,
        slots=slots,
        token_interval=token_interval,
        load_lag=load_lag,
        cache_tokens=cache_tokens,
        checks_fencing=checks_fencing,
        rng=Random(seed),
    )
    curio.run(serve_engine, address, engine)
