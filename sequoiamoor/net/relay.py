"""Copies an event stream and checks identifier, index and end."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ..errors import AnswerMismatchError

EVENT_LIMIT_BYTES = 1_048_576

_END = b"\n\n"


@dataclass(slots=True)
class Advance:
    """What a part of a stream contained.

    Attributes:
        data: Whole events to pass on.
        tokens: Number of token events in ``data``.
        prefilled: Prompt tokens that were not cached.
        is_end: Whether the stream's end event was reached.
        has_excess: Whether bytes followed the end event; they are dropped.
    """

    data: bytes
    tokens: int = 0
    prefilled: int = 0
    is_end: bool = False
    has_excess: bool = False


class StreamCheck:
    """Follows one stream, over several attempts, and accepts only its own events.

    An attempt that fails leaves the position at the last event that was returned by
    ``feed``, so that a resumed stream has neither a gap nor a repetition.
    """

    def __init__(self, call_id: str) -> None:
        self._call_id = call_id
        # The format of a token with this identifier: compared with the start of each
        # event instead of decoding its JSON.
        self._token_format = b'data: {"id":%b,"i":%%d,"t":"' % json.dumps(
            call_id
        ).encode().replace(b"%", b"%%")
        self._buffer = b""
        self._is_started = False
        self._is_attempt_started = False
        self.next_index = 0
        self.is_complete = False

    def start_attempt(self) -> None:
        """Drops an incomplete event that an earlier attempt left."""
        self._buffer = b""
        # A resumed stream may begin with its start event or with a token.
        self._is_attempt_started = False

    def feed(self, data: bytes) -> Advance:
        """Takes bytes of the stream.

        Returns:
            The whole events among them.

        Raises:
            AnswerMismatchError: If an event is not the next one of this stream.
        """
        if self.is_complete:
            return Advance(b"", has_excess=bool(data))
        if (
            not self._buffer
            and self._is_attempt_started
            and data.startswith(self._token_format % self.next_index)
            and data.endswith(b'"}\n\n')
            and data.find(b"\n") == len(data) - 2
            and b"\r" not in data
        ):
            # One whole token, which is what most reads contain.
            self.next_index += 1
            return Advance(data, 1)
        buffer = self._buffer + data if self._buffer else data
        cut = buffer.rfind(_END) + 2
        if cut == 1:
            cut = 0
        if len(buffer) - cut > EVENT_LIMIT_BYTES:
            raise AnswerMismatchError(f"an event is over {EVENT_LIMIT_BYTES} bytes")
        if not cut:
            self._buffer = buffer
            return Advance(b"")
        whole = buffer if cut == len(buffer) else buffer[:cut]
        was_started = self._is_started
        try:
            advance = self._take_events(whole)
        except AnswerMismatchError:
            self._is_started = was_started
            raise
        self._buffer = b"" if cut == len(buffer) else buffer[cut:]
        if advance.is_end and self._buffer:
            advance.has_excess = True
        return advance

    def _take_events(self, whole: bytes) -> Advance:
        # A carriage return ends a line of an event stream too, and JSON contains
        # none, so it could only hide a second event in one that was checked.
        if b"\r" in whole:
            raise AnswerMismatchError("an event contains a carriage return")
        advance = Advance(whole)
        index = self.next_index
        parts: list[bytes] = []
        events = whole[:-2].split(_END)
        for event in events:
            if advance.is_end:
                advance.has_excess = True
                break
            if (
                self._is_started
                and event.startswith(self._token_format % index)
                and event.endswith(b'"}')
                and b"\n" not in event
            ):
                index += 1
            elif event.startswith(b"data: "):
                self._check_token(event, index)
                index += 1
            elif not self._check_control(event, index, advance):
                continue
            parts.append(event)
        if len(parts) != len(events):
            advance.data = b"".join(part + _END for part in parts)
        advance.tokens = index - self.next_index
        self.next_index = index
        self._is_attempt_started = True
        self.is_complete = advance.is_end
        return advance

    def _check_token(self, event: bytes, index: int) -> None:
        """Checks a token whose JSON is written in another way."""
        document = self._decode(event, event[6:])
        if document.get("i") != index or not isinstance(document.get("t"), str):
            raise AnswerMismatchError(
                f"token {document.get('i')!r} came instead of {index}; the answer is "
                "dropped"
            )
        if not self._is_started:
            raise AnswerMismatchError("the stream does not begin with its start event")

    def _decode(self, event: bytes, data: bytes) -> dict[str, Any]:
        try:
            if b"\n" in data:
                raise ValueError("more than one line")
            document = json.loads(data)
        except (ValueError, RecursionError) as err:
            raise AnswerMismatchError(
                f"event {event[:80]!r} is not one line of JSON"
            ) from err
        if not isinstance(document, dict) or document.get("id") != self._call_id:
            raise AnswerMismatchError(
                f"event {event[:80]!r} does not carry {self._call_id!r}"
            )
        return document

    def _check_control(self, event: bytes, index: int, advance: Advance) -> bool:
        """Checks a start or end event; returns whether it is passed on."""
        name, _, rest = event.partition(b"\n")
        if name not in (b"event: start", b"event: end") or not rest.startswith(
            b"data: "
        ):
            raise AnswerMismatchError(f"event {event[:80]!r} is not of this stream")
        document = self._decode(event, rest[6:])
        if name == b"event: start":
            return self._check_start(document, index, advance)
        if not self._is_started:
            raise AnswerMismatchError("the stream does not begin with its start event")
        tokens = document.get("tokens")
        if type(tokens) is not int or tokens != index:
            raise AnswerMismatchError(
                f"the stream ended with {tokens!r} tokens, but {index} came"
            )
        advance.is_end = True
        return True

    def _check_start(
        self, document: dict[str, Any], index: int, advance: Advance
    ) -> bool:
        prefilled, cached = document.get("prefilled"), document.get("cached", 0)
        for count in (prefilled, cached):
            if type(count) is not int or count < 0:
                raise AnswerMismatchError(
                    f"the start event counts {prefilled!r} and {cached!r} tokens"
                )
        if self._is_attempt_started or index != self.next_index:
            raise AnswerMismatchError("the start event came again")
        assert isinstance(prefilled, int)
        advance.prefilled = prefilled
        is_first = not self._is_started
        self._is_attempt_started = self._is_started = True
        return is_first


def build_document(events: bytes) -> dict[str, Any]:
    """Returns a whole checked stream as one document.

    Args:
        events: All events from the start to the end, as passed on by a StreamCheck.

    Raises:
        AnswerMismatchError: If the text of a token cannot be decoded.
    """
    first, *tokens, last = events[:-2].split(_END)
    start, end = (json.loads(event.partition(b"\n")[2][6:]) for event in (first, last))
    try:
        texts = [json.loads(token[6:])["t"] for token in tokens]
        text = "".join(texts)
    except (ValueError, KeyError, TypeError) as err:
        raise AnswerMismatchError("the text of a token cannot be decoded") from err
    return {
        "id": start["id"],
        "prefilled": start["prefilled"],
        "cached": start.get("cached", 0),
        "tokens": end["tokens"],
        "text": text,
    }
