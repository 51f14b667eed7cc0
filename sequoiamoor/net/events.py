"""Splitting of a stream of server-sent events, and the check of their order."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..errors import AnswerMismatchError

EVENT_LIMIT_BYTES = 1_048_576

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
        self._buffer = b""

    def start_attempt(self) -> None:
        """Discards an incomplete event of an earlier attempt."""
        self._buffer = b""
        self.is_resumed = self.is_begun
        self.attempt_count = 0

    @property
    def is_between_events(self) -> bool:
        """Whether the bytes received so far end with a complete event."""
        return not self._buffer.strip()

    @property
    def pending_bytes(self) -> int:
        """Number of bytes kept of an event that is not complete."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Events:
        """Adds received bytes and returns the events that are now complete.

        Raises:
            AnswerMismatchError: If an event is not the next one, or if a resumed
                stream has text that is no event with an identifier.
        """
        buffer = self._buffer + data if self._buffer else data
        end = buffer.rfind(b"\n\n") + 2
        if end == 1:
            # LF LF was not found; the lines may end with CR LF.
            end = buffer.rfind(b"\r\n\r\n") + 4
            end = 0 if end == 3 else end
        if len(buffer) - end > EVENT_LIMIT_BYTES:
            raise AnswerMismatchError(
                f"an event is longer than {EVENT_LIMIT_BYTES} bytes; the answer is "
                "dropped"
            )
        complete, self._buffer = buffer[:end], buffer[end:]
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
