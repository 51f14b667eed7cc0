"""Responses to callers of the project's own interface."""

from __future__ import annotations

import json
import time
from collections.abc import Coroutine
from typing import Any

import h11

from ..core.records import KeptAnswer
from ..errors import AnswerIncompleteError, RefusalError, UpstreamFailedError
from ..net.caller import send_refusal, to_refusal_body
from ..net.exchange import Answer
from ..net.http_server import ServerConnection
from ..net.relay import build_document
from ..types import CallRequest


class CallerGoneError(Exception):
    """The caller closed its connection, or the connection failed."""


class UnsendableAnswerError(Exception):
    """The answer cannot be sent as HTTP/1.1; this is no fault of the connection."""


def build_disconnect_fields(
    connection: ServerConnection, detail: str
) -> dict[str, str | None]:
    """Returns the log fields that tell a closed connection from a failed one."""
    return {
        "reason": "closed" if connection.failure is None else "failed",
        "error": connection.failure_name,
        "detail": detail,
    }


async def deliver(send: Coroutine[Any, Any, None]) -> None:
    """Awaits a send on the caller's connection.

    Args:
        send: Coroutine of the send, not yet awaited.

    Raises:
        CallerGoneError: If the connection failed or is closed.
        UnsendableAnswerError: If the response was rejected before it was sent.
    """
    try:
        await send
    except OSError as err:
        raise CallerGoneError(str(err)) from err
    except h11.LocalProtocolError as err:
        raise UnsendableAnswerError(
            f"the answer cannot be sent, {err}; report it with the lines of its request"
        ) from err


class CallerSink:
    """Sends the answer or refusal of one call to its caller.

    Every failure of the caller's connection is raised as CallerGoneError, so that it is
    never mistaken for a failure of the upstream.

    Attributes:
        is_started: Whether the head of a streamed answer has been sent.
        first_at: Monotonic time in seconds at which the answer began, if it has.
    """

    def __init__(
        self, connection: ServerConnection, call: CallRequest, *, answer_limit: int
    ) -> None:
        self._answer_limit = answer_limit
        self._connection = connection
        self._call = call
        self._buffered_parts: list[bytes] = []
        self._buffered_bytes = 0
        self.is_started = False
        self.first_at: float | None = None

    def _build_headers(self, content_type: str) -> dict[str, str]:
        return {
            "content-type": content_type,
            "x-request-id": self._call.request_id,
            "x-call-id": self._call.call_id,
        }

    async def start_stream(self) -> None:
        """Sends the head of a streamed answer; further calls do nothing."""
        if self.first_at is None:
            self.first_at = time.monotonic()
        if self.is_started or not self._call.wants_stream:
            return
        self.is_started = True
        headers = {
            **self._build_headers("text/event-stream"),
            "cache-control": "no-store",
        }
        await deliver(self._connection.start_stream(200, headers))

    async def send_events(self, data: bytes) -> None:
        """Sends events, or buffers them if the caller did not ask for a stream."""
        if self._call.wants_stream:
            try:
                await self._connection.send_data(data)
            except OSError as err:
                raise CallerGoneError(str(err)) from err
            return
        self._buffered_bytes += len(data)
        if self._buffered_bytes > self._answer_limit:
            raise UpstreamFailedError(
                f"the answer is over {self._answer_limit} bytes; request a stream"
            )
        self._buffered_parts.append(data)

    async def finish_stream(self) -> None:
        """Completes the answer.

        A caller that did not ask for a stream gets one JSON document instead.
        """
        if self._call.wants_stream:
            await deliver(self._connection.end_stream())
            return
        document = build_document(b"".join(self._buffered_parts))
        body = json.dumps(document).encode() + b"\n"
        await self.send_answer(Answer(200, "application/json", body))

    async def send_answer(self, answer: Answer) -> None:
        """Sends an upstream's answer that is not a stream."""
        if self.is_started:
            raise AnswerIncompleteError(
                f"the upstream answered the rest of the stream with status "
                f"{answer.status}; the answer is incomplete"
            )
        if self.first_at is None:
            self.first_at = time.monotonic()
        headers = self._build_headers(answer.content_type)
        await deliver(
            self._connection.send_response(answer.status, headers, answer.body)
        )

    async def send_replay(self, answer: KeptAnswer) -> None:
        """Sends the kept answer of an earlier execution of the same call."""
        headers = {**self._build_headers(answer.content_type), "x-replayed": "true"}
        await deliver(
            self._connection.send_response(answer.status, headers, answer.body)
        )

    async def refuse(self, error: RefusalError) -> None:
        """Sends a refusal or, if a streamed answer has begun, marks it incomplete."""
        if self._connection.can_refuse:
            await deliver(
                send_refusal(
                    self._connection,
                    error,
                    self._call.request_id,
                    call_id=self._call.call_id,
                )
            )
            return
        if not self.is_started:
            return
        body = to_refusal_body(error, self._call.request_id)
        event = b"event: incomplete\ndata: " + body.strip() + b"\n\n"
        await deliver(self._connection.send_data(event))
