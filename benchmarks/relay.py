"""CPU time of one router process per relayed token chunk and per request.

A caller process keeps streams open through a router, and through a relay that only
copies bytes between two curio sockets. An upstream sends each token as a chunk of
its own, at a fixed rate. Only the CPU time of the router's or the relay's process is
counted. The two take turns within one run, so that both see the same machine.
"""

from __future__ import annotations

import argparse
import contextlib
import heapq
import json
import os
import re
import selectors
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import curio

from sequoiamoor.standin.client import put_configuration, put_vms, wait_ready
from sequoiamoor.standin.processes import (
    end_processes,
    find_free_port,
    read_listening,
    start_process,
)
from sequoiamoor.types import Address

from .usage import read_cpu_seconds

HOST = "127.0.0.1"
RESULTS = Path(__file__).resolve().parent.parent / "results" / "relay.json"
AIM_CHUNK_US = 25.0
AIM_RATIO = 4.0
PROMPT = b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
CHUNK_END = b"\n\n\r\n"

DECLARATION: dict[str, Any] = {
    "organisations": {"a": {}},
    "classes": {"chat": {"first_token_ms": 800}},
    "services": {"talk": {"kind": "engine"}, "look": {"kind": "plain"}},
}


@dataclass(frozen=True)
class Load:
    """What the callers ask for in one phase."""

    streams: int
    tokens: int
    interval_ms: float
    callers: int
    requests: int


@dataclass
class Phase:
    """What one process cost in one phase."""

    cpu_seconds: float = 0.0
    tokens: int = 0
    chunks: int = 0
    requests: int = 0

    @property
    def token_us(self) -> float:
        """CPU microseconds per token."""
        return self.cpu_seconds * 1e6 / self.tokens

    @property
    def request_us(self) -> float:
        """CPU microseconds per request."""
        return self.cpu_seconds * 1e6 / self.requests


@dataclass
class Stream:
    """A stream that the upstream is sending."""

    sock: socket.socket
    call_id: str
    tokens: int
    interval: float
    index: int = 0


class Upstream:
    """An engine and plain service that costs little and keeps an exact pace."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._due: list[tuple[float, int, Stream]] = []
        self._number = 0
        self._buffers: dict[socket.socket, bytes] = {}

    def serve(self) -> None:
        """Serves until the process is ended."""
        server = socket.create_server((HOST, 0), backlog=256)
        print(json.dumps({"listening": list(server.getsockname())}), flush=True)
        self._selector.register(server, selectors.EVENT_READ, server)
        while True:
            self._send_due()
            wait = self._due[0][0] - time.monotonic() if self._due else None
            for key, _ in self._selector.select(wait):
                if key.fileobj is server:
                    sock = server.accept()[0]
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._buffers[sock] = b""
                    self._selector.register(sock, selectors.EVENT_READ)
                else:
                    assert isinstance(key.fileobj, socket.socket)
                    self._receive(key.fileobj)

    def _send_due(self) -> None:
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            due, _, stream = heapq.heappop(self._due)
            try:
                self._send_token(stream, due)
            except OSError:
                continue

    def _send_token(self, stream: Stream, due: float) -> None:
        call_id = stream.call_id
        if stream.index < stream.tokens:
            text = f'data: {{"id":"{call_id}","i":{stream.index},"t":"token text"}}'
            data = f"{text}\n\n".encode()
            stream.sock.sendall(b"%x\r\n%b\r\n" % (len(data), data))
            stream.index += 1
            self._number += 1
            heapq.heappush(self._due, (due + stream.interval, self._number, stream))
            return
        end = f'event: end\ndata: {{"id":"{call_id}","tokens":{stream.tokens}}}\n\n'
        data = end.encode()
        stream.sock.sendall(b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data))

    def _receive(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65_536)
        except OSError:
            data = b""
        if not data:
            self._selector.unregister(sock)
            del self._buffers[sock]
            sock.close()
            return
        data = self._buffers[sock] + data
        while (found := _split_request(data)) is not None:
            head, body, data = found
            self._answer(sock, head, body)
        self._buffers[sock] = data

    def _answer(self, sock: socket.socket, head: bytes, body: bytes) -> None:
        match = re.search(rb"(?i)x-call-id: (\S+)", head)
        call_id = match[1].decode() if match else ""
        if b"/v1/generate" not in head:
            load = b'{"incarnation":1,"slots":64,"running":0,"queued":0,'
            load += b'"token_rate":0,"leaving":false}'
            answer = load if b"/v1/load" in head else b'{"done":true}'
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"X-Call-Id: %b\r\nX-Service-Ms: 1\r\nContent-Length: %d\r\n\r\n%b"
                % (call_id.encode(), len(answer), answer)
            )
            return
        wanted = json.loads(body)
        start = f'event: start\ndata: {{"id":"{call_id}","prefilled":1,"cached":0}}\n\n'
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Call-Id: %b\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n"
            % (call_id.encode(), len(start), start.encode())
        )
        stream = Stream(sock, call_id, wanted["tokens"], wanted["interval_ms"] / 1000)
        self._number += 1
        # Streams start at different places of the interval, so that their tokens do
        # not arrive together.
        offset = stream.interval * (self._number * 0.618 % 1)
        heapq.heappush(self._due, (time.monotonic() + offset, self._number, stream))


def _split_request(data: bytes) -> tuple[bytes, bytes, bytes] | None:
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    match = re.search(rb"(?i)content-length: (\d+)", head)
    length = int(match[1]) if match else 0
    if len(rest) < length:
        return None
    return head, rest[:length], rest[length:]


def serve_copy(upstream: Address) -> None:
    """Runs the relay that only copies bytes, until the process is ended."""

    async def copy(source: Any, target: Any) -> None:
        while data := await source.recv(65_536):
            await target.sendall(data)

    async def accept(sock: Any, peer: Any) -> None:
        other = await curio.open_connection(upstream.host, upstream.port)
        for one in (sock, other):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            async with other, curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(copy, sock, other)
                await tasks.spawn(copy, other, sock)

    async def main() -> None:
        server = curio.network.tcp_server_socket(HOST, 0, backlog=256)
        print(json.dumps({"listening": list(server.getsockname())}), flush=True)
        await curio.network.run_server(server, accept)

    curio.run(main)


@dataclass
class Target:
    """A process under measurement and how it is asked."""

    name: str
    pid: int
    address: Address
    heads: dict[str, bytes]
    token_phases: list[Phase] = field(default_factory=list)
    request_phases: list[Phase] = field(default_factory=list)


def measure_tokens(target: Target, load: Load) -> Phase:
    """Runs streams through the target and returns what they cost it."""
    body = json.dumps({"tokens": load.tokens, "interval_ms": load.interval_ms}).encode()
    asked = target.heads["stream"] + PROMPT % (len(body), body)
    phase = Phase()
    ended = 0
    with selectors.DefaultSelector() as selector, contextlib.ExitStack() as stack:
        # Connections are opened before the clock of the phase starts.
        socks = [_open(target.address, stack) for _ in range(load.streams)]
        tails = dict.fromkeys(socks, b"")
        for sock in socks:
            selector.register(sock, selectors.EVENT_READ)
        before = read_cpu_seconds(target.pid)
        for sock in socks:
            sock.sendall(asked)
        while ended < load.streams:
            for key, _ in selector.select(30):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                data = sock.recv(65_536)
                if not data:
                    raise RuntimeError(
                        f"{target.name}: a stream broke: {tails[sock]!r}"
                    )
                joined = tails[sock] + data
                phase.tokens += joined.count(b'"i":') - tails[sock].count(b'"i":')
                phase.chunks += joined.count(CHUNK_END) - tails[sock].count(CHUNK_END)
                tails[sock] = joined[-32:]
                ended += joined.endswith(b"0\r\n\r\n")
        phase.cpu_seconds = read_cpu_seconds(target.pid) - before
    if phase.tokens != load.streams * load.tokens:
        raise RuntimeError(f"{target.name}: {phase.tokens} tokens came")
    return phase


def measure_requests(target: Target, load: Load) -> Phase:
    """Runs requests through the target and returns what they cost it."""
    asked = target.heads["call"] + PROMPT % (2, b"{}")
    phase = Phase()
    with selectors.DefaultSelector() as selector, contextlib.ExitStack() as stack:
        socks = [_open(target.address, stack) for _ in range(load.callers)]
        tails = dict.fromkeys(socks, b"")
        for sock in socks:
            selector.register(sock, selectors.EVENT_READ)
        before = read_cpu_seconds(target.pid)
        for sock in socks:
            sock.sendall(asked)
        while phase.requests < load.requests:
            for key, _ in selector.select(30):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                data = sock.recv(65_536)
                if not data:
                    raise RuntimeError(f"{target.name}: a call broke: {tails[sock]!r}")
                tails[sock] += data
                if tails[sock].endswith(b'{"done":true}'):
                    phase.requests += 1
                    tails[sock] = b""
                    # None is left under way at the end of the phase.
                    if phase.requests + len(socks) <= load.requests:
                        sock.sendall(asked)
        phase.cpu_seconds = read_cpu_seconds(target.pid) - before
    return phase


def _open(address: Address, stack: contextlib.ExitStack) -> socket.socket:
    sock = stack.enter_context(socket.create_connection((address.host, address.port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _start_role(*arguments: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.relay", "--role", *arguments],
        stdout=subprocess.PIPE,
    )


@contextlib.contextmanager
def run_targets() -> Iterator[list[Target]]:
    """Runs an upstream, a router and a copying relay in front of it."""
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory(prefix="sequoiamoor-") as name:
        log = Path(name) / "log"
        try:
            processes.append(_start_role("upstream"))
            upstream = read_listening(processes[-1])
            processes.append(_start_role("copy", "--upstream", str(upstream)))
            relay, relay_pid = read_listening(processes[-1]), processes[-1].pid
            processes.append(
                start_process(["stand-in", "platform", "--list-lag", "0"], log)
            )
            platform = read_listening(processes[-1])
            _fill_platform(platform, upstream)
            router = Address(HOST, find_free_port(HOST))
            path = Path(name) / "router.json"
            path.write_text(json.dumps(_build_settings(router, platform)))
            processes.append(start_process(["router", "--settings", str(path)], log))
            wait_ready(router, timeout=20.0)
            # The VM list is read right after the configuration.
            time.sleep(1.0)
            yield [
                Target(
                    "router",
                    processes[-1].pid,
                    router,
                    {"stream": _router_head("talk"), "call": _router_head("look")},
                ),
                Target(
                    "copy",
                    relay_pid,
                    relay,
                    {"stream": _copy_head("generate"), "call": _copy_head("call")},
                ),
            ]
        finally:
            end_processes(processes)


def _router_head(service: str) -> bytes:
    head = f"POST /v1/services/{service}/calls HTTP/1.1\r\nHost: r\r\n"
    head += "X-Organisation: a\r\nX-Class: chat\r\n"
    if service == "talk":
        head += "Accept: text/event-stream\r\n"
    return head.encode()


def _copy_head(path: str) -> bytes:
    return f"POST /v1/{path} HTTP/1.1\r\nHost: r\r\nX-Call-Id: router.1.1\r\n".encode()


def _fill_platform(platform: Address, upstream: Address) -> None:
    vms = [
        {
            "id": f"{service}-0",
            "role": "upstream",
            "zone": "zone-a",
            "address": upstream.host,
            "port": upstream.port,
            "service": service,
            "state": "live",
        }
        for service in ("talk", "look")
    ]
    put_vms(platform, vms)
    put_configuration(platform, DECLARATION)


def _build_settings(router: Address, platform: Address) -> dict[str, Any]:
    return {
        "router_id": "router-0",
        "zone": "zone-a",
        "http": {"host": router.host, "port": router.port},
        "control": {"host": HOST, "port": find_free_port(HOST)},
        "platform": {"host": platform.host, "port": platform.port},
        "policy": "least-load",
        "log_level": "warning",
    }


def run_benchmark(load: Load, *, rounds: int) -> dict[str, Any]:
    """Measures both targets in turn and returns the figures."""
    with run_targets() as targets:
        warm_up = Load(load.streams, 100, load.interval_ms, load.callers, 500)
        for target in targets:
            measure_tokens(target, warm_up)
            measure_requests(target, warm_up)
        for _ in range(rounds):
            for target in targets:
                target.token_phases.append(measure_tokens(target, load))
            for target in targets:
                target.request_phases.append(measure_requests(target, load))
    figures: dict[str, Any] = {"load": asdict(load), "rounds": rounds}
    for target in targets:
        tokens = sum(phase.tokens for phase in target.token_phases)
        chunks = sum(phase.chunks for phase in target.token_phases)
        token_us = [phase.token_us for phase in target.token_phases]
        request_us = [phase.request_us for phase in target.request_phases]
        figures[target.name] = {
            "chunk_us": statistics.median(token_us),
            "chunk_us_rounds": token_us,
            "request_us": statistics.median(request_us),
            "request_us_rounds": request_us,
            "chunks_sent_per_token": chunks / tokens,
        }
    # Neighbouring phases see the same load of the machine, so their ratios are compared
    # and not the medians of each target.
    for name in ("chunk", "request"):
        rounds_of = [figures[one][f"{name}_us_rounds"] for one in ("router", "copy")]
        ratios = [one / other for one, other in zip(*rounds_of, strict=True)]
        figures[f"{name}_ratio"] = statistics.median(ratios)
    figures["load_average"] = os.getloadavg()[0]
    return figures


def print_figures(figures: dict[str, Any]) -> None:
    print(f"{'':<8}{'us/chunk':>10}{'us/request':>12}{'chunks/token':>14}  rounds")
    for name in ("router", "copy"):
        row = figures[name]
        rounds = " ".join(f"{value:.1f}" for value in row["chunk_us_rounds"])
        print(
            f"{name:<8}{row['chunk_us']:>10.1f}{row['request_us']:>12.0f}"
            f"{row['chunks_sent_per_token']:>14.3f}  {rounds}"
        )
    print(
        f"ratio per chunk {figures['chunk_ratio']:.2f} (aim under {AIM_RATIO:g}), "
        f"per request {figures['request_ratio']:.2f}; aim per chunk "
        f"{AIM_CHUNK_US:g} us; load average of the machine "
        f"{figures['load_average']:.1f}"
    )


def main() -> int:
    """Runs the benchmark, prints and writes the figures; fails if an aim is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=["upstream", "copy"])
    parser.add_argument("--upstream", help="HOST:PORT behind the copying relay")
    parser.add_argument("--streams", type=int, default=32)
    parser.add_argument("--tokens", type=int, default=500)
    parser.add_argument("--interval-ms", type=float, default=4.0)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--requests", type=int, default=1_500)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--output", type=Path, default=RESULTS)
    options = parser.parse_args()
    if options.role == "upstream":
        Upstream().serve()
    elif options.role == "copy":
        host, _, port = options.upstream.rpartition(":")
        serve_copy(Address(host, int(port)))
    load = Load(
        options.streams,
        options.tokens,
        options.interval_ms,
        options.callers,
        options.requests,
    )
    figures = run_benchmark(load, rounds=options.rounds)
    print_figures(figures)
    options.output.parent.mkdir(exist_ok=True)
    options.output.write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    is_met = (
        figures["router"]["chunk_us"] <= AIM_CHUNK_US
        and figures["chunk_ratio"] < AIM_RATIO
    )
    return 0 if is_met else 1


if __name__ == "__main__":
    sys.exit(main())
