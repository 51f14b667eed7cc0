"""Responses to callers of requests on routes."""

from __future__ import annotations

import time

from ..core.blackboard import Blackboard
from ..net.forward import StreamHead, WholeAnswer
from ..net.http_server import ServerConnection
from .sink import CallerGoneError, deliver


class RouteSink:
    """Sends the answer of one request to its caller.

    Every failure of the caller's connection is raised as CallerGoneError, so that it is
    never mistaken for a failure of the upstream.

    Attributes:
        is_started: Whether the head of a streamed answer has been sent.
        first_at: Monotonic time in seconds at which the answer began, if it has.
    """

    def __init__(self, connection: ServerConnection, board: Blackboard) -> None:
        self._connection = connection
        self._board = board
        self.is_started = False
        self.first_at: float | None = None

    def check_present(self) -> None:
        """Checks that the caller is still connected.

        A lagging event loop may read a request after its caller has disconnected.

        Raises:
            CallerGoneError: If the caller closed its connection.
        """
        if self._connection.has_peer_left:
            raise CallerGoneError(
                "the caller disconnected before its request was forwarded"
            )

    def _build_close_fields(self) -> list[tuple[bytes, bytes]]:
        return [(b"connection", b"close")] if self._board.is_leaving else []

    async def send_events(self, head: StreamHead, data: bytes) -> None:
        """Sends events to the caller, preceded by the response head the first time."""
        if not self.is_started:
            self.is_started = True
            self.first_at = time.monotonic()
            fields = [*head.fields, *self._build_close_fields()]
            await deliver(self._connection.start_stream(head.status, fields))
        await deliver(self._connection.send_data(data))

    async def finish_stream(self) -> None:
        """Completes the stream."""
        await deliver(self._connection.end_stream())

    async def send_answer(self, answer: WholeAnswer) -> None:
        """Sends an answer that is not a stream."""
        if self.first_at is None:
            self.first_at = time.monotonic()
        fields = [*answer.fields, *self._build_close_fields()]
        await deliver(
            self._connection.send_response(answer.status, fields, answer.body)
        )
