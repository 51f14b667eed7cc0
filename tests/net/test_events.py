"""Tests of the order of events in streams."""

from __future__ import annotations

import contextlib
import re
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiamoor.errors import AnswerMismatchError
from sequoiamoor.net.events import EventSequence


def build_events(*ids: int, end: bytes = b"\n") -> bytes:
    return b"".join(
        b"id: %d%bdata: x%b%b" % (event_id, end, end, end) for event_id in ids
    )


@pytest.mark.parametrize("size", [1, 3, 7, 1_000])
@pytest.mark.parametrize("end", [b"\n", b"\r\n"])
def test_only_complete_events_are_returned(size: int, end: bytes) -> None:
    """Guards against a partial event before the rest of a resumed stream."""
    data = build_events(1, 2, 3, end=end) + b"id: 4" + end + b"data"
    sequence = EventSequence()
    parts = [
        sequence.feed(data[start : start + size]) for start in range(0, len(data), size)
    ]
    assert b"".join(part.data for part in parts) == build_events(1, 2, 3, end=end)
    assert sum(part.count for part in parts) == 3
    assert not sequence.is_between_events


@settings(max_examples=200, derandomize=True)
@given(
    ends=st.lists(st.sampled_from([b"\n", b"\r\n"]), min_size=1, max_size=5),
    cuts=st.lists(st.integers(0, 150), max_size=20),
)
def test_any_split_gives_the_same_events(ends: list[bytes], cuts: list[int]) -> None:
    """Guards against an event that is held back, since a receive splits its end."""
    events = [build_events(number, end=end) for number, end in enumerate(ends)]
    data = b"".join(events)
    positions = [0, *sorted(cut for cut in cuts if cut <= len(data)), len(data)]
    sequence = EventSequence()
    returned = b""
    for begin, end in zip(positions, positions[1:], strict=False):
        returned += sequence.feed(data[begin:end]).data
        complete = 0
        for event in events:
            is_complete = complete + len(event) <= end
            complete += len(event) if is_complete else 0
            if not is_complete:
                break
        assert returned == data[:complete]
    assert sequence.is_between_events


def test_what_is_kept_of_an_event_is_not_copied_for_each_receive() -> None:
    """Guards against an event in small parts whose cost grows with its square."""
    kept_bytes = 800_000
    sequence = EventSequence()
    sequence.feed(b"id: 1\ndata: " + b"x" * kept_bytes)
    tracemalloc.start()
    try:
        # Room for more is taken at intervals, in proportion to what is kept.
        sequence.feed(b"y" * 10_000)
        for _ in range(100):
            before, _ = tracemalloc.get_traced_memory()
            tracemalloc.reset_peak()
            sequence.feed(b"y" * 10)
            _, peak = tracemalloc.get_traced_memory()
            assert peak - before < kept_bytes / 4
    finally:
        tracemalloc.stop()
    assert sequence.feed(b"\n\n").count == 1


@pytest.mark.parametrize(
    ("first", "second"), [([1, 2], [2]), ([1, 2], [4]), ([5], [4]), ([3, 3], [])]
)
def test_gap_or_repetition_is_refused(first: list[int], second: list[int]) -> None:
    """Guards against a resumed stream with a missing or repeated event."""
    sequence = EventSequence()
    with pytest.raises(AnswerMismatchError):
        sequence.feed(build_events(*first))
        sequence.start_attempt()
        sequence.feed(build_events(*second))


def test_next_attempt_continues_after_the_last_complete_event() -> None:
    """Guards against a partial event that is joined with the next replica's stream."""
    sequence = EventSequence()
    sequence.feed(build_events(1, 2) + b"id: 3\nda")
    sequence.start_attempt()
    assert sequence.last_id == 2
    assert sequence.feed(build_events(3)).data == build_events(3)


PARTS = st.sampled_from(
    [
        b"id: 3\ndata: x\n\n",
        b"id: 4\ndata: y\n\n",
        b"id: 3\r\ndata: x\r\n\r\n",
        b": comment\n\n",
        b"data: x\n\n",
        b"failed\n",
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b"\n",
        b"\r\n\r\n",
    ]
)


@settings(max_examples=300, derandomize=True)
@given(
    parts=st.lists(PARTS | st.binary(max_size=8), max_size=6), size=st.integers(1, 9)
)
def test_resumed_stream_adds_nothing_but_the_next_events(
    parts: list[bytes], size: int
) -> None:
    """Guards against an error's text in the middle of a stream."""
    sequence = EventSequence()
    sequence.feed(build_events(1, 2))
    sequence.start_attempt()
    data, added = b"".join(parts), b""
    with contextlib.suppress(AnswerMismatchError):
        for start in range(0, len(data), size):
            added += sequence.feed(data[start : start + size]).data
    blocks = [block for block in re.split(rb"\r?\n\r?\n", added) if block]
    assert len(blocks) == sequence.attempt_count
    ids = [re.findall(rb"(?m)^id: ?(\d+)\r?$", block) for block in blocks]
    assert ids == [[b"%d" % number] for number in range(3, 3 + len(blocks))]
    assert b"HTTP/" not in added and b"failed" not in added
