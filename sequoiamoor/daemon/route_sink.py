"""The caller's side of one request on a route."""

from __future__ import annotations

import time

from ..core.blackboard import Blackboard
from ..net.forward import StreamHead, WholeAnswer
from ..net.http_server import ServerConnection
from .sink import CallerGoneError, deliver


class RouteSink:
    """Passes an answer on to the caller's connection.

    Every failure of that connection is raised as CallerGoneError, so that it is never
    taken for a failure of the upstream.

    Attributes:
        is_started: Whether the head of a stream was sent.
        first_at: Monotonic time of the first part of the answer.
    """

    def __init__(self, connection: ServerConnection, board: Blackboard) -> None:
        self._connection = connection
        self._board = board
        self.is_started = False
        self.first_at: float | None = None

    def check_present(self) -> None:
        """Looks whether the caller is still there.

        A loop that is late reads requests of callers that have left meanwhile.

        Raises:
            CallerGoneError: If its connection is closed.
        """
        if self._connection.has_peer_left:
            raise CallerGoneError("the caller left before its request was sent on")

    def _closing(self) -> list[tuple[bytes, bytes]]:
        return [(b"connection", b"close")] if self._board.is_leaving else []

    async def send_events(self, head: StreamHead, data: bytes) -> None:
        """Passes on events, after the head of the stream if it is the first time."""
        if not self.is_started:
            self.is_started = True
            self.first_at = time.monotonic()
            fields = [*head.fields, *self._closing()]
            await deliver(self._connection.start_stream(head.status, fields))
        await deliver(self._connection.send_data(data))

    async def finish_stream(self) -> None:
        """Ends the stream as complete."""
        await deliver(self._connection.end_stream())

    async def send_answer(self, answer: WholeAnswer) -> None:
        """Sends a whole answer."""
        if self.first_at is None:
            self.first_at = time.monotonic()
        fields = [*answer.fields, *self._closing()]
        await deliver(
            self._connection.send_response(answer.status, fields, answer.body)
        )
