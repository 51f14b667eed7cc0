"""Tests of whole caller sessions against golden files with the exact bytes.

Set UPDATE_GOLDEN=1 to rewrite the files after an intended change.
"""

from __future__ import annotations

import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from tests.listener_harness import (
    Close,
    ListenerHarness,
    Step,
    Until,
    chunk,
    complete_response,
    events,
    request,
    run,
    stream_head,
)

FOLDER = Path(__file__).resolve().parent.parent / "golden" / "callers"
START, T0, T1, T2, END = events("call-1", 3)
HEAD = stream_head("call-1")


@dataclass(frozen=True)
class Session:
    """A session of one caller.

    Attributes:
        sent: Bytes that the caller sends.
        answers: Answers of the upstreams, in order.
        last: Last bytes to receive; if empty, all until the connection closes.
        service: Service of the upstreams.
        limits: Limits of the listener that differ from the defaults.
    """

    sent: bytes
    answers: list[Sequence[Step]] = field(default_factory=list)
    last: bytes = b""
    service: str = "talk"
    limits: dict[str, Any] = field(default_factory=dict)


WITH_ID = b"X-Request-Id: question-7\r\n"
SESSIONS = {
    "served": Session(
        request("look", stream=False, extra=WITH_ID),
        [[complete_response("call-1", b'{"lane": 4}')]],
        b'{"lane": 4}',
        service="look",
    ),
    "served-document": Session(
        request(stream=False, extra=WITH_ID),
        [[HEAD + b"".join(map(chunk, (START, T0, T1, T2, END))) + b"0\r\n\r\n"]],
        b"}\n",
    ),
    "streamed": Session(
        request(extra=WITH_ID),
        [
            [
                HEAD + chunk(START),
                Until(START),
                chunk(T0),
                Until(T0),
                chunk(T1 + T2),
                Until(T2),
                chunk(END) + b"0\r\n\r\n",
            ]
        ],
        END + b"\r\n0\r\n\r\n",
    ),
    "refused": Session(request(organisation="nobody", extra=WITH_ID), last=b"}\n"),
    "refused-malformed": Session(
        request(extra=b"Transfer-Encoding: chunked\r\n") + b"0\r\n\r\n"
    ),
    "refused-headers": Session(
        request(extra=b"X-Note: " + b"x" * 1_024 + b"\r\n"),
        limits={"header_bytes": 1_024},
    ),
    "refused-upstream": Session(
        request("desk", stream=False, extra=WITH_ID),
        [[complete_response("call-1", b'{"execution":"was not run"}', status=503)]],
        b"}\n",
        service="desk",
    ),
    "failed": Session(
        request("desk", stream=False, extra=WITH_ID),
        [[complete_response("call-9", b'{"lane": 9}')]],
        b"}\n",
        service="desk",
    ),
    "broken": Session(
        request("once", extra=WITH_ID),
        [[HEAD + chunk(START + T0), Until(T0), chunk(T1 + T1)]],
        service="once",
    ),
    "resumed": Session(
        request(extra=WITH_ID),
        [
            [HEAD + chunk(START + T0) + chunk(T1[:7])[:-9], Until(T0), Close()],
            [HEAD + chunk(START + T1 + T2 + END) + b"0\r\n\r\n"],
        ],
        END + b"\r\n0\r\n\r\n",
    ),
}


def format_session(sent: bytes, received: bytes) -> str:
    lines = [f"> {line!r}" for line in sent.splitlines(keepends=True)]
    lines += [f"< {line!r}" for line in received.splitlines(keepends=True)]
    return "\n".join(lines) + "\n"


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_caller_sees_the_recorded_bytes(name: str) -> None:
    """Guards against unintended changes of the responses that callers receive."""
    case = SESSIONS[name]

    async def session(harness: ListenerHarness) -> bytes:
        answers = iter(case.answers)
        for _ in case.answers:
            upstream = await harness.add_upstream(service=case.service)
            upstream.scripts.extend([lambda _: next(answers)] * len(case.answers))
        caller = await harness.connect()
        await caller.send(case.sent)
        if case.last:
            return await caller.receive_until(case.last)
        return await caller.receive_all()

    found = format_session(case.sent, run(session, limits=case.limits))
    path = FOLDER / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(found, encoding="utf-8")
    assert found == path.read_text(encoding="utf-8")
