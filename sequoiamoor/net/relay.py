"""Validation of the event stream of an engine: identifiers, indexes and end."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ..errors import AnswerMismatchError

EVENT_LIMIT_BYTES = 1_048_576

_EVENT_END = b"\n\n"


@dataclass(slots=True)
class CheckedEvents:
    """The validated events of one part of a stream.

    Attributes:
        data: Complete events to forward.
        tokens: Number of token events in ``data``.
        prefilled: Prompt tokens that were not cached.
        is_end: Whether the end event of the stream is among them.
        has_trailing_data: Whether bytes followed the end event; they are dropped.
    """

    data: bytes
    tokens: int = 0
    prefilled: int = 0
    is_end: bool = False
    has_trailing_data: bool = False


class StreamCheck:
    """Validates one stream, over several attempts, and accepts only its next event.

    After a failed attempt the position is that of the last event that ``feed``
    returned, so that a resumed stream has neither a gap nor a repetition.

    Attributes:
        next_index: Index of the token that is expected next.
        is_complete: Whether the end event was accepted.
    """

    def __init__(self, call_id: str) -> None:
        self._call_id = call_id
        # The usual start of a token event, with a placeholder for the index.
        # Comparing it with each event saves decoding the JSON.
        self._token_start_format = b'data: {"id":%b,"i":%%d,"t":"' % json.dumps(
            call_id
        ).encode().replace(b"%", b"%%")
        self._buffer = b""
        self._is_started = False
        self._is_attempt_started = False
        self.next_index = 0
        self.is_complete = False

    def start_attempt(self) -> None:
        """Discards an incomplete event of an earlier attempt."""
        self._buffer = b""
        # A resumed stream may begin with its start event or with a token.
        self._is_attempt_started = False

    def feed(self, data: bytes) -> CheckedEvents:
        """Adds received bytes and returns the events that are now complete.

        Raises:
            AnswerMismatchError: If an event is not the next one of this stream.
        """
        if self.is_complete:
            return CheckedEvents(b"", has_trailing_data=bool(data))
        if (
            not self._buffer
            and self._is_attempt_started
            and data.startswith(self._token_start_format % self.next_index)
            and data.endswith(b'"}\n\n')
            and data.find(b"\n") == len(data) - 2
            and b"\r" not in data
        ):
            # Exactly one complete token event, as in most reads.
            self.next_index += 1
            return CheckedEvents(data, 1)
        buffer = self._buffer + data if self._buffer else data
        end = buffer.rfind(_EVENT_END) + 2
        if end == 1:
            # The end of an event was not found.
            end = 0
        if len(buffer) - end > EVENT_LIMIT_BYTES:
            raise AnswerMismatchError(
                f"an event is longer than {EVENT_LIMIT_BYTES} bytes; the answer is "
                "dropped"
            )
        if not end:
            self._buffer = buffer
            return CheckedEvents(b"")
        complete = buffer if end == len(buffer) else buffer[:end]
        was_started = self._is_started
        try:
            checked = self._check_events(complete)
        except AnswerMismatchError:
            self._is_started = was_started
            raise
        self._buffer = b"" if end == len(buffer) else buffer[end:]
        if checked.is_end and self._buffer:
            checked.has_trailing_data = True
        return checked

    def _check_events(self, complete: bytes) -> CheckedEvents:
        # A carriage return also ends a line of an event stream. JSON contains none, so
        # it could only hide a second event within a validated one.
        if b"\r" in complete:
            raise AnswerMismatchError(
                "an event contains a carriage return; the answer is dropped"
            )
        checked = CheckedEvents(complete)
        index = self.next_index
        parts: list[bytes] = []
        events = complete[:-2].split(_EVENT_END)
        for event in events:
            if checked.is_end:
                checked.has_trailing_data = True
                break
            if (
                self._is_started
                and event.startswith(self._token_start_format % index)
                and event.endswith(b'"}')
                and b"\n" not in event
            ):
                index += 1
            elif event.startswith(b"data: "):
                self._check_token(event, index)
                index += 1
            elif not self._check_control(event, index, checked):
                continue
            parts.append(event)
        if len(parts) != len(events):
            checked.data = b"".join(part + _EVENT_END for part in parts)
        checked.tokens = index - self.next_index
        self.next_index = index
        self._is_attempt_started = True
        self.is_complete = checked.is_end
        return checked

    def _check_token(self, event: bytes, index: int) -> None:
        """Checks a token event whose JSON is not in the usual form."""
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
                f"event {event[:80]!r} does not belong to call {self._call_id!r}"
            )
        return document

    def _check_control(self, event: bytes, index: int, checked: CheckedEvents) -> bool:
        """Checks a start or end event and returns whether to forward it."""
        name, _, rest = event.partition(b"\n")
        if name not in (b"event: start", b"event: end") or not rest.startswith(
            b"data: "
        ):
            raise AnswerMismatchError(
                f"event {event[:80]!r} is not a token, start or end event"
            )
        document = self._decode(event, rest[6:])
        if name == b"event: start":
            return self._check_start(document, index, checked)
        if not self._is_started:
            raise AnswerMismatchError("the stream does not begin with its start event")
        tokens = document.get("tokens")
        if type(tokens) is not int or tokens != index:
            raise AnswerMismatchError(
                f"the end event counts {tokens!r} tokens, but {index} were received"
            )
        checked.is_end = True
        return True

    def _check_start(
        self, document: dict[str, Any], index: int, checked: CheckedEvents
    ) -> bool:
        prefilled, cached = document.get("prefilled"), document.get("cached", 0)
        for count in (prefilled, cached):
            if type(count) is not int or count < 0:
                raise AnswerMismatchError(
                    f"the start event has the invalid token counts {prefilled!r} "
                    f"(prefilled) and {cached!r} (cached)"
                )
        if self._is_attempt_started or index != self.next_index:
            raise AnswerMismatchError("the stream has a second start event")
        assert isinstance(prefilled, int)
        checked.prefilled = prefilled
        is_first = not self._is_started
        self._is_attempt_started = self._is_started = True
        return is_first


def build_document(events: bytes) -> dict[str, Any]:
    """Returns a complete, validated stream as one JSON document.

    Args:
        events: All events from the start to the end, as ``StreamCheck.feed`` returned
            them.

    Raises:
        AnswerMismatchError: If the text of a token cannot be decoded.
    """
    first, *tokens, last = events[:-2].split(_EVENT_END)
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
