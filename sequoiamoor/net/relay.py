"""Copies an event stream and checks identifier, index and end."""

from __future__ import annotations

import json
from dataclasses import dataclass

from ..errors import AnswerMismatchError

_END = b"\n\n"


@dataclass(slots=True)
class Advance:
    """What a part of a stream contained.

    Attributes:
        data: Whole events to pass on.
        tokens: Number of token events in ``data``.
        prefilled: Prompt tokens that were not cached.
        is_end: Whether the stream's end event was reached.
    """

    data: bytes
    tokens: int = 0
    prefilled: int = 0
    is_end: bool = False


class StreamCheck:
    """Follows one stream, over several attempts, and accepts only its own events."""

    def __init__(self, call_id: str) -> None:
        self._call_id = call_id
        self._token_prefix = f'data: {{"id":"{call_id}","i":'.encode()
        self._buffer = b""
        self._is_started = False
        self.next_index = 0
        self.is_complete = False

    def start_attempt(self) -> None:
        """Drops an incomplete event that an earlier attempt left."""
        self._buffer = b""

    def feed(self, data: bytes) -> Advance:
        """Takes bytes of the stream.

        Returns:
            The whole events among them.

        Raises:
            AnswerMismatchError: If an event is not the next one of this stream.
        """
        buffer = self._buffer + data if self._buffer else data
        cut = buffer.rfind(_END)
        if cut < 0:
            self._buffer = buffer
            return Advance(b"")
        self._buffer = buffer[cut + 2 :]
        advance = Advance(b"")
        parts: list[bytes] = []
        for event in buffer[:cut].split(_END):
            if event.startswith(self._token_prefix):
                self._check_index(event)
                advance.tokens += 1
                parts.append(event)
            elif self._check_control(event, advance):
                parts.append(event)
        advance.data = b"".join(part + _END for part in parts)
        return advance

    def _check_index(self, event: bytes) -> None:
        start = len(self._token_prefix)
        index = event[start : event.find(b",", start)]
        if self.is_complete or index != b"%d" % self.next_index:
            raise AnswerMismatchError(
                f"token {index!r} came instead of {self.next_index}; the answer is "
                "dropped"
            )
        self.next_index += 1

    def _check_control(self, event: bytes, advance: Advance) -> bool:
        name, _, rest = event.partition(b"\n")
        if not name.startswith(b"event: ") or not rest.startswith(b"data: "):
            raise AnswerMismatchError(f"event {event[:80]!r} is not of this stream")
        try:
            document = json.loads(rest[6:])
        except ValueError as err:
            raise AnswerMismatchError(f"event {event[:80]!r} is not JSON") from err
        if not isinstance(document, dict) or document.get("id") != self._call_id:
            raise AnswerMismatchError(
                f"event {event[:80]!r} does not carry {self._call_id!r}"
            )
        if name == b"event: start":
            advance.prefilled += int(document["prefilled"])
            is_first = not self._is_started
            self._is_started = True
            return is_first
        if name == b"event: end":
            if document.get("tokens") != self.next_index:
                raise AnswerMismatchError(
                    f"the stream ended with {document.get('tokens')} tokens, but "
                    f"{self.next_index} came"
                )
            self.is_complete = advance.is_end = True
            return True
        raise AnswerMismatchError(f"event {name!r} is unknown")
