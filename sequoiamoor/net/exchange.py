"""Attempts at upstreams and the pool of their connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import curio
import h11

from ..core.upstreams import Replica
from ..errors import (
    AnswerIncompleteError,
    AnswerMismatchError,
    UpstreamFailedError,
    UpstreamUnreachableError,
)
from ..options import Options
from ..types import Address, CallRequest, Execution
from .http import ClientConnection, Response
from .relay import StreamCheck


class Sink(Protocol):
    """Receives the checked parts of an answer."""

    async def start_stream(self) -> None:
        """Begins a streamed answer; further calls do nothing."""

    async def send_events(self, data: bytes) -> None:
        """Passes on whole events of a streamed answer."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class ConnectionPool:
    """Connections to upstreams that may be used again."""

    def __init__(self, *, options: Options) -> None:
        self._options = options
        self._idle: dict[Address, list[ClientConnection]] = {}

    async def take(self, address: Address, *, is_fresh: bool) -> ClientConnection:
        """Returns a connection; a fresh one was never used.

        Raises:
            OSError: If no connection can be made.
        """
        idle = self._idle.get(address)
        if idle and not is_fresh:
            return idle.pop()
        return await ClientConnection.connect(
            address, timeout=self._options.connect_timeout
        )

    async def give_back(self, connection: ClientConnection) -> None:
        """Keeps a connection whose response was read to its end, else closes it."""
        if connection.is_reusable:
            connection.start_next_cycle()
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            await connection.close()

    async def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                await connection.close()
        self._idle.clear()


class Attempt:
    """One try of a call at one replica."""

    def __init__(
        self,
        call: CallRequest,
        replica: Replica,
        *,
        pool: ConnectionPool,
        options: Options,
        charge: Callable[[float], None],
        check_before_send: Callable[[], None] | None = None,
    ) -> None:
        self._call = call
        self._replica = replica
        self._pool = pool
        self._options = options
        self._charge = charge
        self._check_before_send = check_before_send
        self.is_sent = False

    async def _open(self, path: str, headers: dict[str, str]) -> ClientConnection:
        try:
            connection = await self._pool.take(
                self._replica.address, is_fresh=not self._call.is_repeatable
            )
        except OSError as err:
            raise UpstreamUnreachableError(
                f"replica {self._replica.replica_id!r} cannot be reached: {err}; try "
                "again",
                retry_after=1.0,
            ) from err
        fields = {
            "x-request-id": self._call.request_id,
            "x-call-id": self._call.call_id,
            "content-type": self._call.content_type,
            **headers,
        }
        try:
            if self._check_before_send is not None:
                self._check_before_send()
            self.is_sent = True
            await connection.send_request("POST", path, fields, self._call.body)
        except BaseException:
            await connection.close()
            raise
        return connection

    def _check_head(self, response: Response) -> None:
        if response.headers.get("x-call-id") != self._call.call_id:
            raise AnswerMismatchError(
                f"replica {self._replica.replica_id!r} answered for call "
                f"{response.headers.get('x-call-id')!r}; the answer is dropped"
            )
        if response.status >= 500:
            raise UpstreamFailedError(
                f"replica {self._replica.replica_id!r} failed with status "
                f"{response.status}",
                execution=Execution.MAY_HAVE_RUN,
            )

    async def stream(self, check: StreamCheck, sink: Sink) -> None:
        """Runs the call at an engine and passes its events on.

        Raises:
            RefusalError: If the answer did not come to its end.
        """
        headers = {"accept": "text/event-stream"}
        if self._call.prefix_key is not None:
            headers["x-prefix-key"] = self._call.prefix_key
        if check.next_index:
            headers["x-resume-from"] = str(check.next_index)
        check.start_attempt()
        connection = None
        try:
            connection = await self._open("/v1/generate", headers)
            async with curio.timeout_after(self._options.upstream_idle_timeout):
                response = await connection.receive_response()
            self._check_head(response)
            while (data := await self._receive(connection)) is not None:
                advance = check.feed(data)
                self._charge(advance.tokens + advance.prefilled)
                if advance.data:
                    await sink.start_stream()
                    await sink.send_events(advance.data)
            if not check.is_complete:
                raise AnswerIncompleteError(
                    f"replica {self._replica.replica_id!r} ended the answer early"
                )
            await self._pool.give_back(connection)
            connection = None
        except (OSError, h11.RemoteProtocolError, curio.TaskTimeout) as err:
            raise AnswerIncompleteError(
                f"replica {self._replica.replica_id!r} broke off: {err!r}"
            ) from err
        finally:
            if connection is not None:
                await connection.close()

    async def _receive(self, connection: ClientConnection) -> bytes | None:
        async with curio.timeout_after(self._options.upstream_idle_timeout):
            return await connection.receive_data()

    async def call(self) -> Answer:
        """Runs the call at a plain service.

        Raises:
            RefusalError: If no whole answer came.
        """
        connection = None
        try:
            connection = await self._open("/v1/call", {})
            async with curio.timeout_after(self._options.upstream_idle_timeout):
                response = await connection.receive_response()
                body = await connection.receive_body()
            self._check_head(response)
            await self._pool.give_back(connection)
            connection = None
        except (OSError, h11.RemoteProtocolError, curio.TaskTimeout) as err:
            raise AnswerIncompleteError(
                f"replica {self._replica.replica_id!r} broke off: {err!r}"
            ) from err
        finally:
            if connection is not None:
                await connection.close()
        self._charge(float(response.headers.get("x-service-ms", "0")))
        content_type = response.headers.get("content-type", "application/json")
        return Answer(response.status, content_type, body)
