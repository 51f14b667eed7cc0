"""Harness that runs callers against the listener and scripted upstreams."""

from __future__ import annotations

import itertools
import json
import re
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
import curio.io

from sequoiamoor.core.blackboard import Blackboard, create_blackboard
from sequoiamoor.core.upstreams import Replica
from sequoiamoor.daemon.calls import CallServer
from sequoiamoor.daemon.listener import CallListener
from sequoiamoor.daemon.pages import Pages
from sequoiamoor.declaration import parse_declaration
from sequoiamoor.metrics import Metrics
from sequoiamoor.net.http import peek
from sequoiamoor.net.http_client import RESET_ON_CLOSE
from sequoiamoor.options import Options
from sequoiamoor.policies.round_robin import RoundRobinPolicy
from sequoiamoor.settings import LimitSettings
from sequoiamoor.types import Address, RouterIdentity

# Limit on a whole session, so that one that hangs fails instead of blocking the run.
SESSION_TIMEOUT_SECONDS = 20.0

DECLARATION = {
    "organisations": {"a": {}, "b": {}},
    "classes": {
        "chat": {"first_token_ms": 800},
        "quick": {"first_token_ms": 10, "wait_limit_ms": 300},
    },
    "services": {
        "talk": {"kind": "engine"},
        "once": {"kind": "engine", "repeatable": False},
        "desk": {"kind": "plain", "repeatable": False},
        "look": {"kind": "plain"},
    },
}


@dataclass(frozen=True)
class Until:
    """Script step: waits until a caller has received the marker."""

    marker: bytes


@dataclass(frozen=True)
class Hang:
    """Script step: waits until the router closes the connection."""


@dataclass(frozen=True)
class Close:
    """Script step: closes the connection, with a reset if ``is_reset`` is set."""

    is_reset: bool = False


@dataclass(frozen=True)
class End:
    """Script step: ends the upstream's process, which closes its port."""


@dataclass(frozen=True, slots=True)
class Repeat:
    """Sends the same bytes again and again until the router closes the connection."""

    data: bytes
    pause_seconds: float = 0.02


@dataclass(frozen=True)
class Silence:
    """Script step: sends nothing for a time, and goes on."""

    seconds: float


@dataclass(frozen=True)
class UntilNext:
    """Script step: waits until another request has arrived, here or elsewhere."""


Step = bytes | Until | UntilNext | Hang | Close | End | Repeat | Silence
Answerer = Callable[[bytes], Sequence[Step]]


def token(call_id: str, index: int) -> bytes:
    return b'data: {"id":"%b","i":%d,"t":"t%d "}\n\n' % (call_id.encode(), index, index)


def events(call_id: str, tokens: int, *, first: int = 0) -> list[bytes]:
    start = b'event: start\ndata: {"id":"%b","prefilled":3,"cached":1}\n\n'
    end = b'event: end\ndata: {"id":"%b","tokens":%d}\n\n'
    return [
        start % call_id.encode(),
        *(token(call_id, index) for index in range(first, tokens)),
        end % (call_id.encode(), tokens),
    ]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_head(call_id: str) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"X-Call-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n" % call_id.encode()
    )


def complete_response(
    call_id: str, body: bytes, *, status: int = 200, extra: bytes = b""
) -> bytes:
    return (
        b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nX-Call-Id: %b\r\n"
        b"X-Service-Ms: 5\r\nContent-Length: %d\r\n%b\r\n%b"
        % (status, call_id.encode(), len(body), extra, body)
    )


def request(
    service: str = "talk",
    *,
    stream: bool = True,
    body: bytes = b"{}",
    organisation: str = "a",
    class_name: str = "chat",
    extra: bytes = b"",
) -> bytes:
    accept = b"Accept: text/event-stream\r\n" if stream else b""
    return (
        b"POST /v1/services/%b/calls HTTP/1.1\r\nHost: r\r\nX-Organisation: %b\r\n"
        b"X-Class: %b\r\n%b%bContent-Length: %d\r\n\r\n%b"
        % (
            service.encode(),
            organisation.encode(),
            class_name.encode(),
            accept,
            extra,
            len(body),
            body,
        )
    )


@dataclass
class ScriptedUpstream:
    """An upstream that answers each request with the next script.

    Attributes:
        scripts: Scripts that are left; each builds its steps from the request.
        requests: Bytes of the requests received.
        connections: Number of connections accepted.
        closed_by_router: Number of connections that the router closed during a
            script or reset.
        ended: Number of connections that have ended.
        reads_bodies: Whether a script starts only after the body of its request.
    """

    harness: ListenerHarness
    scripts: deque[Answerer]
    requests: list[bytes] = field(default_factory=list)
    connections: int = 0
    closed_by_router: int = 0
    ended: int = 0
    address: Address | None = None
    tasks: Any = None
    reads_bodies: bool = True

    async def listen(self, port: int = 0) -> None:
        sock = curio.network.tcp_server_socket("127.0.0.1", port)
        self.address = Address(*sock.getsockname()[:2])
        self.tasks = await curio.spawn(
            curio.network.run_server, sock, self._serve, daemon=True
        )

    async def _serve(self, sock: Any, peer: Any) -> None:
        self.connections += 1
        data = b""
        try:
            while True:
                while (end := _find_request_end(data, self.reads_bodies)) is None:
                    if not (more := await sock.recv(65_536)):
                        return
                    data += more
                self.requests.append(data[:end])
                script = self.scripts.popleft()(data[:end])
                data = data[end:]
                for step in script:
                    if not await self._perform_step(sock, step):
                        return
        except OSError:
            self.closed_by_router += 1
        finally:
            await sock.close()
            self.ended += 1

    async def _perform_step(self, sock: Any, step: Step) -> bool:
        if isinstance(step, bytes):
            await sock.sendall(step)
        elif isinstance(step, Until):
            await self.harness.wait_received(step.marker)
        elif isinstance(step, UntilNext):
            count = len(self.requests)
            while len(self.requests) == count and peek(sock._socket) is None:
                await curio.sleep(0.002)
        elif isinstance(step, Repeat):
            while True:
                await sock.sendall(step.data)
                await curio.sleep(step.pause_seconds)
        elif isinstance(step, Silence):
            await curio.sleep(step.seconds)
        elif isinstance(step, Hang):
            while await sock.recv(65_536):
                pass
            self.closed_by_router += 1
            return False
        elif isinstance(step, End):
            # Cancels the task of this connection, too.
            await self.tasks.cancel(blocking=False)
            await curio.sleep(SESSION_TIMEOUT_SECONDS)
        else:
            if step.is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return False
        return True


def _find_request_end(data: bytes, includes_body: bool = True) -> int | None:
    head = data.find(b"\r\n\r\n")
    if head < 0:
        return None
    match = re.search(rb"(?i)content-length: (\d+)", data[:head])
    end = head + 4 + (int(match[1]) if match and includes_body else 0)
    return end if len(data) >= end else None


def read_call_id(received: bytes) -> str:
    match = re.search(rb"(?i)x-call-id: (\S+)", received)
    assert match is not None
    return match[1].decode()


def _connect_pair() -> tuple[socket.socket, socket.socket]:
    """Returns both ends of a TCP connection.

    A socket pair would not do: only TCP discards data on a reset.
    """
    with socket.create_server(("127.0.0.1", 0)) as server:
        caller_sock = socket.create_connection(server.getsockname())
        return caller_sock, server.accept()[0]


class Caller:
    """The caller's end of one connection.

    Attributes:
        received: Everything received so far.
        is_closed: Whether either side has closed the connection.
        is_reset: Whether the router reset the connection.
    """

    def __init__(self, harness: ListenerHarness, sock: Any) -> None:
        self._harness = harness
        self.sock = sock
        self.received = b""
        self.is_closed = False
        self.is_reset = False

    async def send(self, data: bytes) -> None:
        await self.sock.sendall(data)

    async def receive(self) -> bool:
        try:
            data = await self.sock.recv(65_536)
        except ConnectionError:
            data = b""
            self.is_reset = True
        self.received += data
        self.is_closed = not data
        await self._harness.notify_progress()
        return bool(data)

    async def receive_until(self, marker: bytes) -> bytes:
        while marker not in self.received and await self.receive():
            pass
        return self.received

    async def receive_all(self) -> bytes:
        while await self.receive():
            pass
        return self.received

    async def close(self) -> None:
        await self.sock.close()
        self.is_closed = True


class ListenerHarness:
    """A listener with its call server and scripted upstreams, all in this process.

    Attributes:
        crashes: Exceptions that the listener let escape from a connection.
        tasks: Tasks of the connections.
    """

    def __init__(
        self,
        *,
        limits: dict[str, Any] | None = None,
        options: dict[str, Any] | None = None,
    ) -> None:
        self.metrics = Metrics()
        self.board: Blackboard = create_blackboard(
            RouterIdentity("router-0", 1, "zone-a"),
            Options.model_validate(options or {}),
        )
        self.board.configuration.declaration = parse_declaration(DECLARATION)
        self.board.configuration.version = 1
        policy = RoundRobinPolicy(rng=Random(1))
        self.calls = CallServer(self.board, policy, self.metrics)
        call_numbers = itertools.count(1)
        self.listener = CallListener(
            self.board,
            self.calls,
            Pages(self.board, self.metrics),
            self.metrics,
            limits=LimitSettings.model_validate(limits or {}),
            make_call_id=lambda: f"call-{next(call_numbers)}",
        )
        self.upstreams: list[ScriptedUpstream] = []
        self.crashes: list[Exception] = []
        self.tasks: list[Any] = []
        self._callers: list[Caller] = []
        self._bound_sockets: list[socket.socket] = []
        self._progress = curio.Condition()

    async def add_upstream(
        self, *scripts: Answerer, service: str = "talk"
    ) -> ScriptedUpstream:
        upstream = ScriptedUpstream(self, deque(scripts))
        await upstream.listen()
        assert upstream.address is not None
        self.upstreams.append(upstream)
        name = f"replica-{len(self.upstreams)}"
        self.board.upstreams.replicas[name] = Replica(
            name, service, "zone-a", upstream.address
        )
        return upstream

    def add_dead_upstream(self, service: str = "talk") -> str:
        """Adds an upstream whose address refuses connections; returns its name.

        The socket stays bound without listening, so that no listener of another test
        gets the port.
        """
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        self._bound_sockets.append(sock)
        address = Address(*sock.getsockname()[:2])
        name = f"dead-{len(self.board.upstreams.replicas)}"
        self.board.upstreams.replicas[name] = Replica(name, service, "zone-a", address)
        return name

    async def close_callers(self) -> None:
        """Frees the descriptors of callers that are left, which later tests count."""
        for caller in self._callers:
            await caller.sock.close()

    def close_bound_sockets(self) -> None:
        """Releases the ports of the dead upstreams."""
        for sock in self._bound_sockets:
            sock.close()

    async def connect(self) -> Caller:
        caller_sock, router_sock = _connect_pair()
        caller = Caller(self, curio.io.Socket(caller_sock))
        self._callers.append(caller)
        self.tasks.append(
            await curio.spawn(self._accept, curio.io.Socket(router_sock), daemon=True)
        )
        return caller

    async def _accept(self, sock: Any) -> None:
        try:
            await self.listener.accept(sock, None)
        except Exception as err:
            self.crashes.append(err)
            raise
        finally:
            await sock.close()

    async def ask(self, *parts: bytes) -> bytes:
        """Sends the parts and returns everything received until the router closes."""
        caller = await self.connect()
        for part in parts:
            await caller.send(part)
        return await caller.receive_all()

    async def tick(self) -> None:
        """Dispatches queued calls periodically, as the router does."""
        while True:
            await curio.sleep(0.005)
            for service in self.board.queues.services():
                await self.calls.dispatch(service)

    async def notify_progress(self) -> None:
        async with self._progress:
            await self._progress.notify_all()

    async def wait_received(self, marker: bytes) -> None:
        async with self._progress:
            while not any(marker in caller.received for caller in self._callers):
                await self._progress.wait()

    async def wait_for(self, check: Callable[[], bool]) -> None:
        """Waits until ``check`` returns true, at most until the session times out."""
        while not check():
            await curio.sleep(0.002)

    def counter(self, name: str, **labels: str) -> float:
        value = self.metrics.registry.get_sample_value(
            f"sequoiamoor_{name}_total", labels
        )
        return value or 0.0

    def is_idle(self) -> bool:
        """Whether no slot, queue entry, connection or running call is left."""
        return (
            not self.board.running
            and not len(self.board.queues)
            and not self.calls.in_service
            and not self.calls._pool._in_use
            and all(
                replica.in_use == 0
                for replica in self.board.upstreams.replicas.values()
            )
        )

    async def wait_idle(self) -> None:
        """Waits until every slot, queue entry and connection is free again."""
        await self.wait_for(self.is_idle)


def run(
    session: Callable[[ListenerHarness], Awaitable[Any]],
    *,
    limits: dict[str, Any] | None = None,
    options: dict[str, Any] | None = None,
) -> Any:
    """Runs one session on an event loop of its own."""
    return run_harness(ListenerHarness(limits=limits, options=options), session)


def run_harness(harness: Any, session: Callable[[Any], Awaitable[Any]]) -> Any:
    """Runs one session with the given harness on an event loop of its own."""

    async def main() -> Any:
        watch = await curio.spawn(harness.calls.watch, daemon=True)
        tick = await curio.spawn(harness.tick, daemon=True)
        async with curio.timeout_after(SESSION_TIMEOUT_SECONDS):
            result = await session(harness)
        await watch.cancel()
        await tick.cancel()
        await harness.calls.close()
        harness.close_bound_sockets()
        await harness.close_callers()
        assert not harness.crashes
        return result

    return curio.run(main)


@dataclass(frozen=True)
class ReceivedResponse:
    """A parsed response as a caller receives it.

    Attributes:
        is_whole: Whether the response arrived up to its end.
        rest: Bytes received after the response.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    rest: bytes

    @property
    def refusal(self) -> dict[str, Any]:
        document: dict[str, Any] = json.loads(self.body)
        return document


def parse(received: bytes) -> ReceivedResponse:
    """Parses one response strictly; an incomplete body is no error."""
    head, separator, rest = received.partition(b"\r\n\r\n")
    assert separator, f"incomplete response head: {received!r}"
    lines = head.split(b"\r\n")
    assert lines[0].startswith(b"HTTP/1.1 ")
    status = int(lines[0].split(b" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b": ")
        headers[name.decode().lower()] = value.decode()
    if "content-length" in headers:
        length = int(headers["content-length"])
        return ReceivedResponse(
            status, headers, rest[:length], len(rest) >= length, rest[length:]
        )
    assert headers["transfer-encoding"] == "chunked"
    body = b""
    while True:
        line, separator, after = rest.partition(b"\r\n")
        if not separator:
            return ReceivedResponse(status, headers, body, False, rest)
        size = int(line, 16)
        if not size:
            is_whole = after.startswith(b"\r\n")
            return ReceivedResponse(status, headers, body, is_whole, after[2:])
        if len(after) < size + 2:
            return ReceivedResponse(status, headers, body, False, rest)
        body += after[:size]
        assert after[size : size + 2] == b"\r\n"
        rest = after[size + 2 :]
