"""Splitting of a stream of server-sent events, and the check of their order."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..errors import AnswerMismatchError

EVENT_LIMIT_BYTES = 1_048_576

_BLANK_LINES = (b"\n\n", b"\r\n\r\n")
MAX_END_BYTES = max(map(len, _BLANK_LINES))

_EVENT_ID = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
_BLOCK_END = re.compile(rb"(\r?\n\r?\n)")
_FIELD = re.compile(rb"[A-Za-z][A-Za-z0-9_-]*:|(?:data|event|id|retry)$")


@dataclass(frozen=True, slots=True)
class Events:
    """Complete events of a stream.

    Attributes:
        data: The events as received.
        count: Number of events that have an identifier.
    """

    data: bytes
    count: int


class EventSequence:
    """Tracks one stream, over several attempts, and accepts only its next event.

    The first attempt with data is passed on as it is. Later ones add whole events with
    an identifier and nothing else.

    Attributes:
        last_id: Identifier of the last event that was returned, or None.
        is_begun: Whether data of the stream was returned.
        is_resumed: Whether that was in an earlier attempt.
        has_unnumbered: Whether text without an identifier was returned, which another
            attempt could repeat.
        attempt_count: Number of events with an identifier in this attempt.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.is_begun = self.is_resumed = self.has_unnumbered = False
        self.attempt_count = 0
        self._pending = bytearray()

    def start_attempt(self) -> None:
        """Discards an incomplete event of an earlier attempt."""
        self._pending.clear()
        self.is_resumed = self.is_begun
        self.attempt_count = 0

    @property
    def is_between_events(self) -> bool:
        """Whether the bytes received so far end with a complete event."""
        return not self._pending.strip()

    @property
    def pending_bytes(self) -> int:
        """Number of bytes kept of an event that is not complete."""
        return len(self._pending)

    def feed(self, data: bytes) -> Events:
        """Adds received bytes and returns the events that are now complete.

        Raises:
            AnswerMismatchError: If an event is not the next one, or if a resumed
                stream has text that is no event with an identifier.
        """
        complete = self._take_complete(data)
        if len(self._pending) > EVENT_LIMIT_BYTES:
            raise AnswerMismatchError(
                f"an event is longer than {EVENT_LIMIT_BYTES} bytes; the answer is "
                "dropped"
            )
        count = 0
        last_id = self.last_id
        for match in _EVENT_ID.finditer(complete):
            event_id = int(match[1])
            if last_id is not None and event_id != last_id + 1:
                raise AnswerMismatchError(
                    f"event {event_id} follows event {last_id}; the stream has a gap "
                    "or a repetition"
                )
            last_id = event_id
            count += 1
        if self.is_resumed:
            complete = _select_events(complete)
        elif count != complete.count(b"\n\n") + complete.count(b"\r\n\r\n"):
            self.has_unnumbered |= any(
                not _EVENT_ID.search(block) and not _is_comment(block)
                for block in _BLOCK_END.split(complete)
            )
        self.last_id = last_id
        self.attempt_count += count
        self.is_begun |= bool(complete)
        return Events(complete, count)

    def _take_complete(self, data: bytes) -> bytes:
        """Returns what is complete with the data, and keeps the rest.

        What is kept is neither copied nor searched again, so that an event costs the
        same in however many parts it comes.
        """
        pending = self._pending
        if not pending:
            end = _find_end(data, 0)
            pending += memoryview(data)[end:]
            return data[:end]
        # An end that is new has at least one byte of the data.
        searched = max(len(pending) - MAX_END_BYTES + 1, 0)
        pending += data
        if not (end := _find_end(pending, searched)):
            return b""
        complete = bytes(memoryview(pending)[:end])
        del pending[:end]
        return complete


def _find_end(buffer: bytes | bytearray, start: int) -> int:
    """Returns where the last complete event ends, 0 if none does.

    Args:
        buffer: Received bytes.
        start: Position before which no event ends.
    """
    end = 0
    for blank_line in _BLANK_LINES:
        position = buffer.rfind(blank_line, start)
        if position >= 0:
            end = max(end, position + len(blank_line))
    return end


def _is_comment(block: bytes) -> bool:
    """Returns whether a part of a stream has only comments and reconnection times."""
    return all(
        not line or line.startswith((b":", b"retry:")) for line in block.splitlines()
    )


def _select_events(complete: bytes) -> bytes:
    """Returns the events of a resumed stream without comments between them.

    Raises:
        AnswerMismatchError: If a part is no event with an identifier.
    """
    parts = _BLOCK_END.split(complete)
    selected = []
    for block, end in zip(parts[::2], [*parts[1::2], b""], strict=True):
        if _is_comment(block):
            continue
        lines = block.splitlines()
        if len(_EVENT_ID.findall(block)) != 1 or not all(
            line.startswith(b":") or _FIELD.match(line) for line in lines if line
        ):
            raise AnswerMismatchError(
                f"{block[:80]!r} is no event of the rest of the stream; it is dropped"
            )
        selected += [block, end]
    return b"".join(selected)
