"""Property: a caller receives its own complete answer or an error that says so."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.listener_harness import (
    Close,
    Hang,
    ListenerHarness,
    ReceivedResponse,
    Step,
    chunk,
    complete_response,
    events,
    parse,
    read_call_id,
    request,
    run,
    stream_head,
)

TOKEN_COUNT = 4
CALLERS = ("call-1", "call-2", "call-3")
SERVICES = ("talk", "once", "look", "desk")


@dataclass(frozen=True)
class Fault:
    """The faults that an upstream makes in one answer.

    Attributes:
        crossed_head: Whether the head has the identifier of another call.
        crossed_from: Index of the event from which on another call's events follow.
        repeated: Index of the event that is sent twice, if any.
        left_out: Index of the event that is missing, if any.
        cuts: Positions, in thousandths, at which the answer is split between writes.
        kept: Thousandths of the answer that are sent before the connection ends.
        copies: Number of times that the complete answer is sent.
        is_reset: Whether the connection ends with a reset.
        is_silent: Whether the upstream stays silent instead of closing.
    """

    crossed_head: bool = False
    crossed_from: int | None = None
    repeated: int | None = None
    left_out: int | None = None
    cuts: tuple[int, ...] = ()
    kept: int = 1_000
    copies: int = 1
    is_reset: bool = False
    is_silent: bool = False


EVENT_INDEX = st.none() | st.integers(0, TOKEN_COUNT + 1)
FAULTS = st.builds(
    Fault,
    crossed_head=st.sampled_from([False, False, False, True]),
    crossed_from=st.none() | EVENT_INDEX,
    repeated=st.none() | EVENT_INDEX,
    left_out=st.none() | EVENT_INDEX,
    cuts=st.lists(st.integers(0, 1_000), max_size=4).map(tuple),
    kept=st.just(1_000) | st.integers(0, 1_000),
    copies=st.sampled_from([1, 1, 1, 2]),
    is_reset=st.booleans(),
    is_silent=st.sampled_from([False, False, False, True]),
)


def plain_body(call_id: str) -> bytes:
    return json.dumps({"answer of": call_id}).encode()


def build_answer(received: bytes, fault: Fault) -> list[Step]:
    own_id = read_call_id(received)
    other_id = CALLERS[(CALLERS.index(own_id) + 1) % len(CALLERS)]
    head_id = other_id if fault.crossed_head else own_id
    if b"/v1/generate" in received:
        first = 0
        for line in received.lower().split(b"\r\n"):
            if line.startswith(b"x-resume-from: "):
                first = int(line.split()[1])
        parts = events(own_id, TOKEN_COUNT, first=first)
        if fault.crossed_from is not None:
            parts[fault.crossed_from :] = events(other_id, TOKEN_COUNT)[
                fault.crossed_from :
            ]
        if fault.repeated is not None:
            parts[fault.repeated : fault.repeated] = parts[fault.repeated :][:1]
        if fault.left_out is not None:
            del parts[fault.left_out : fault.left_out + 1]
        data = stream_head(head_id) + b"".join(map(chunk, parts)) + b"0\r\n\r\n"
    else:
        data = complete_response(
            head_id, plain_body(other_id if fault.crossed_head else own_id)
        )
    data = (data * fault.copies)[: len(data) * fault.copies * fault.kept // 1_000]
    positions = sorted(len(data) * cut // 1_000 for cut in fault.cuts)
    steps: list[Step] = []
    for begin, end in zip([0, *positions], [*positions, len(data)], strict=True):
        steps.append(data[begin:end])
    if fault.kept < 1_000 or fault.copies > 1:
        steps.append(Hang() if fault.is_silent else Close(is_reset=fault.is_reset))
    return steps


def check_response(
    response: ReceivedResponse, call_id: str, service: str, wants_stream: bool
) -> None:
    """Checks that the caller received its own complete answer or a correct error."""
    if response.status != 200:
        assert response.is_whole and response.refusal["request_id"] == call_id
        # Every fault of this test happens after the request was sent.
        assert response.refusal["execution"] == "may have run"
        return
    assert response.headers["x-call-id"] == call_id
    if service in ("look", "desk"):
        assert response.is_whole and response.body == plain_body(call_id)
    elif not wants_stream:
        text = "".join(f"t{index} " for index in range(TOKEN_COUNT))
        assert response.is_whole and response.refusal["id"] == call_id
        assert (response.refusal["tokens"], response.refusal["text"]) == (
            TOKEN_COUNT,
            text,
        )
    elif response.is_whole:
        assert response.body == b"".join(events(call_id, TOKEN_COUNT))
    else:
        body, marker, refusal = response.body.partition(b"event: incomplete\ndata: ")
        assert marker and json.loads(refusal)["execution"] == "may have run"
        assert b"".join(events(call_id, TOKEN_COUNT)).startswith(body)
        assert b"event: end" not in body


@settings(
    max_examples=120,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    faults=st.lists(FAULTS, min_size=1, max_size=6),
    service=st.sampled_from(SERVICES),
    wants_stream=st.booleans(),
)
def test_caller_gets_its_own_complete_answer_or_an_error(
    faults: list[Fault], service: str, wants_stream: bool
) -> None:
    """Guards against swapped, truncated, repeated or silently incomplete answers."""

    async def session(harness: ListenerHarness) -> None:
        remaining_faults = list(faults)

        def answer(received: bytes) -> Sequence[Step]:
            return build_answer(
                received, remaining_faults.pop(0) if remaining_faults else Fault()
            )

        for _ in range(2):
            upstream = await harness.add_upstream(service=service)
            upstream.scripts.extend([answer] * 20)
        callers = []
        for _ in CALLERS:
            caller = await harness.connect()
            callers.append(caller)
            # The router would treat the end of the sending side as a hang-up, so it
            # stays open. The router closes the connection after an incomplete answer.
            await caller.send(request(service, stream=wants_stream))
        for caller in callers:
            while not _is_answered(caller.received) and await caller.receive():
                pass
        # Call identifiers are assigned in the order in which the requests arrive.
        call_ids = set()
        for caller in callers:
            response = parse(caller.received)
            call_id = (
                response.headers.get("x-call-id") or response.refusal["request_id"]
            )
            call_ids.add(call_id)
            check_response(response, call_id, service, wants_stream)
            assert response.rest == b""
            await caller.close()
        assert call_ids == set(CALLERS)
        await harness.wait_idle()

    run(session, options={"upstream_idle_timeout": 0.08, "probe_base_delay": 0.001})


def _is_answered(received: bytes) -> bool:
    return b"\r\n\r\n" in received and parse(received).is_whole
