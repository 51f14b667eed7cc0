"""Splitting of a stream of server-sent events, and the check of their order."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..errors import AnswerMismatchError

EVENT_LIMIT_BYTES = 1_048_576

_EVENT_ID = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)


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

    Attributes:
        last_id: Identifier of the last event that was returned, or None.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._buffer = b""

    def start_attempt(self) -> None:
        """Discards an incomplete event of an earlier attempt."""
        self._buffer = b""

    @property
    def is_between_events(self) -> bool:
        """Whether the bytes received so far end with a complete event."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> Events:
        """Adds received bytes and returns the events that are now complete.

        Raises:
            AnswerMismatchError: If an event is not the next one.
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
        self.last_id = last_id
        return Events(complete, count)
