"""Tests of the validation of event streams."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiamoor.errors import AnswerMismatchError
from sequoiamoor.net.relay import EVENT_LIMIT_BYTES, StreamCheck, build_document
from tests.listener_harness import events, token

START, T0, T1, END = events("c", 2)
WHOLE = START + T0 + T1 + END


@settings(max_examples=200, derandomize=True, deadline=None)
@given(cuts=st.lists(st.integers(0, len(WHOLE)), max_size=12))
def test_any_split_gives_the_same_bytes(cuts: list[int]) -> None:
    """Guards against bytes that are lost or repeated where a read splits an event."""
    positions = [0, *sorted(cuts), len(WHOLE)]
    check = StreamCheck("c")
    check.start_attempt()
    out, tokens, prefilled = b"", 0, 0
    for begin, end in zip(positions, positions[1:], strict=False):
        checked = check.feed(WHOLE[begin:end])
        out += checked.data
        tokens += checked.tokens
        prefilled += checked.prefilled
        # Every complete event is returned at once.
        assert out == WHOLE[: WHOLE[:end].rfind(b"\n\n") + 2 if b"\n\n" in out else 0]
    assert (out, tokens, prefilled) == (WHOLE, 2, 3)
    assert check.is_complete


@pytest.mark.parametrize(
    "data",
    [
        T0,
        END,
        START + T1,
        START + T0 + T0,
        START + START,
        START + T0 + START,
        START + token("d", 0),
        START + T0 + END,
        START + T0[:-2] + b"\nevent: end\n\n",
        START + T0[:-2] + b"\revent: end\n\n",
        START + T0[:-4] + b"\n\n",
        START + b'data: {"id":"c","i":0}\n\n',
        START + b'data: {"id":"c","i":false,"t":1}\n\n',
        START + b"data: [1]\n\n",
        START + b"data: " + b"[" * 100_000 + b"\n\n",
        START + b"event: other\ndata: {}\n\n",
        START + b": comment\n\n",
        START + b"\n\n",
        b'event: start\ndata: {"id":"c","prefilled":-1,"cached":0}\n\n',
        b'event: start\ndata: {"id":"c","prefilled":true,"cached":0}\n\n',
        b'event: start\ndata: {"id":"c"}\n\n',
        b'event: start\ndata: {"id":"d","prefilled":1,"cached":0}\n\n',
        START + T0 + T1 + b'event: end\ndata: {"id":"c","tokens":2.0}\n\n',
        START + T0 + T1 + b'event: end\ndata: {"id":"c"}\n\n',
        START + b"x" * (EVENT_LIMIT_BYTES + 1),
    ],
)
def test_wrong_event_fails_and_position_stays(data: bytes) -> None:
    """Guards against events that count as forwarded although they were rejected."""
    check = StreamCheck("c")
    check.start_attempt()
    with pytest.raises(AnswerMismatchError):
        check.feed(data)
    check.start_attempt()
    assert check.feed(WHOLE).data == WHOLE


@pytest.mark.parametrize("is_start_repeated", [False, True])
def test_resumed_stream_has_one_start(is_start_repeated: bool) -> None:
    """Guards against a second start event inside a stream."""
    check = StreamCheck("c")
    check.start_attempt()
    assert check.feed(START + T0 + T1[:5]).data == START + T0
    check.start_attempt()
    rest = (START if is_start_repeated else b"") + T1 + END
    assert check.feed(rest).data == T1 + END
    assert check.is_complete


def test_token_in_other_json_form_is_accepted() -> None:
    """Guards against a check that accepts only the usual form of the JSON."""
    check = StreamCheck("c")
    check.start_attempt()
    event = b'data: {"i": 0, "t": "x", "id": "c"}\n\n'
    assert check.feed(START + event).tokens == 1


@pytest.mark.parametrize("text", [b"\xff", b"\\x", b'"'])
def test_text_that_is_no_json_fails_the_document(text: bytes) -> None:
    """Guards against an unhandled exception for a complete stream."""
    event = b'data: {"id":"c","i":0,"t":"%b"}\n\n' % text
    with pytest.raises(AnswerMismatchError):
        build_document(START + event + events("c", 1)[-1])
