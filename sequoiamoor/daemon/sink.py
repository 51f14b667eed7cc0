"""The caller's side of one call: passes its answer or refusal on."""

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
    """The caller closed its connection."""


async def deliver(sending: Coroutine[Any, Any, None]) -> None:
    """Awaits a send on the caller's connection.

    Raises:
        CallerGoneError: If the connection failed or is closed.
    """
    try:
        await sending
    except (OSError, h11.LocalProtocolError) as err:
        raise CallerGoneError(str(err)) from err


class CallerSink:
    """Passes an answer on to the caller's connection.

    Every failure of that connection is raised as CallerGoneError, so that it is never
    taken for a failure of the upstream.
    """

    def __init__(
        self, connection: ServerConnection, call: CallRequest, *, answer_limit: int
    ) -> None:
        self._answer_limit = answer_limit
        self._connection = connection
        self._call = call
        self._parts: list[bytes] = []
        self._held_bytes = 0
        self.is_started = False
        self.first_at: float | None = None

    def _headers(self, content_type: str) -> dict[str, str]:
        return {
            "content-type": content_type,
            "x-request-id": self._call.request_id,
            "x-call-id": self._call.call_id,
        }

    async def start_stream(self) -> None:
        """Begins a streamed answer; further calls do nothing."""
        if self.first_at is None:
            self.first_at = time.monotonic()
        if self.is_started or not self._call.wants_stream:
            return
        self.is_started = True
        headers = {**self._headers("text/event-stream"), "cache-control": "no-store"}
        await deliver(self._connection.start_stream(200, headers))

    async def send_events(self, data: bytes) -> None:
        """Passes on whole events of a streamed answer."""
        if self._call.wants_stream:
            try:
                await self._connection.send_data(data)
            except (OSError, h11.LocalProtocolError) as err:
                raise CallerGoneError(str(err)) from err
            return
        self._held_bytes += len(data)
        if self._held_bytes > self._answer_limit:
            raise UpstreamFailedError(
                f"the answer is over {self._answer_limit} bytes; ask for a stream"
            )
        self._parts.append(data)

    async def finish_stream(self) -> None:
        """Ends the answer as complete.

        A caller that did not ask for a stream gets one JSON document instead.
        """
        if self._call.wants_stream:
            await deliver(self._connection.end_stream())
            return
        document = build_document(b"".join(self._parts))
        body = json.dumps(document).encode() + b"\n"
        await self.send_answer(Answer(200, "application/json", body))

    async def send_answer(self, answer: Answer) -> None:
        """Sends a whole answer of an upstream."""
        if self.is_started:
            raise AnswerIncompleteError(
                f"the upstream answered the rest of a stream with {answer.status}"
            )
        if self.first_at is None:
            self.first_at = time.monotonic()
        headers = self._headers(answer.content_type)
        await deliver(
            self._connection.send_response(answer.status, headers, answer.body)
        )

    async def send_replay(self, answer: KeptAnswer) -> None:
        """Sends the kept answer of an earlier execution of the same call."""
        headers = {**self._headers(answer.content_type), "x-replayed": "true"}
        await deliver(
            self._connection.send_response(answer.status, headers, answer.body)
        )

    async def refuse(self, error: RefusalError) -> None:
        """Ends the answer as refused or, if it has begun, as incomplete."""
        if not self.is_started:
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
        body = to_refusal_body(error, self._call.request_id)
        event = b"event: incomplete\ndata: " + body.strip() + b"\n\n"
        await deliver(self._connection.send_data(event))
