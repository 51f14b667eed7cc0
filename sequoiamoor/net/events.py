"""Splits a stream of server-sent events into whole events and checks their order."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..errors import AnswerMismatchError

EVENT_LIMIT_BYTES = 1_048_576

_EVENT_ID = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Events:
    """Whole events of a stream.

    Attributes:
        data: The events as received.
        count: Number of events with an identifier.
    """

    data: bytes
    count: int


class EventOrder:
    """Follows one stream, over several attempts, and accepts only the next event.

    Attributes:
        last_id: Identifier of the last event that was returned, None before any.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._buffer = b""

    def start_attempt(self) -> None:
        """Drops an incomplete event that an earlier attempt left."""
        self._buffer = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is held back."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> Events:
        """Takes bytes of the stream and returns the whole events among them.

        Raises:
            AnswerMismatchError: If an event is not the next one.
        """
        buffer = self._buffer + data if self._buffer else data
        cut = buffer.rfind(b"\n\n") + 2
        if cut == 1:
            cut = buffer.rfind(b"\r\n\r\n") + 4
            cut = 0 if cut == 3 else cut
        if len(buffer) - cut > EVENT_LIMIT_BYTES:
            raise AnswerMismatchError(f"an event is over {EVENT_LIMIT_BYTES} bytes")
        whole, self._buffer = buffer[:cut], buffer[cut:]
        count = 0
        last_id = self.last_id
        for found in _EVENT_ID.finditer(whole):
            event_id = int(found[1])
            if last_id is not None and event_id != last_id + 1:
                raise AnswerMismatchError(
                    f"event {event_id} came after {last_id}; the stream has a gap or "
                    "a repetition"
                )
            last_id = event_id
            count += 1
        self.last_id = last_id
        return Events(whole, count)
