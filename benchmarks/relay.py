"""CPU time of one router process per relayed token chunk and per request.

A caller process keeps streams open through a router, and through a relay that only
copies bytes between two curio sockets. An upstream sends each token as a chunk of
its own, at a fixed rate. Only the CPU time of the router's or the relay's process is
counted. The two take turns within one run, so that both see the same machine.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import selectors
import socket
import statistics
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from sequoiamoor.types import Address

from .relay_roles import Upstream, serve_copy
from .relay_targets import Phase, Target, run_targets
from .usage import read_cpu_seconds

RESULT_PATH = Path(__file__).resolve().parent.parent / "results" / "relay.json"
CHUNK_GOAL_US = 25.0
CHUNK_RATIO_GOAL = 4.0
REQUEST_TAIL = b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
CHUNK_END = b"\n\n\r\n"


@dataclass(frozen=True)
class Load:
    """Load of one phase.

    Attributes:
        streams: Streams that are open at the same time.
        tokens: Tokens per stream.
        interval_ms: Milliseconds between two tokens of a stream.
        callers: Connections that send plain requests.
        requests: Plain requests of all callers.
    """

    streams: int
    tokens: int
    interval_ms: float
    callers: int
    requests: int


def measure_tokens(target: Target, load: Load) -> Phase:
    """Runs streams through the target and returns its CPU time and their tokens.

    Raises:
        RuntimeError: If tokens are missing, or the target closes a connection.
    """
    body = json.dumps({"tokens": load.tokens, "interval_ms": load.interval_ms}).encode()
    request = target.request_heads["stream"] + REQUEST_TAIL % (len(body), body)
    phase = Phase()
    ended_streams = 0

    def handle_data(sock: socket.socket, tail: bytes, data: bytes) -> bytes:
        nonlocal ended_streams
        data_with_tail = tail + data
        phase.tokens += data_with_tail.count(b'"i":') - tail.count(b'"i":')
        phase.chunks += data_with_tail.count(CHUNK_END) - tail.count(CHUNK_END)
        ended_streams += data_with_tail.endswith(b"0\r\n\r\n")
        return data_with_tail[-32:]

    phase.cpu_seconds = _exchange(
        target,
        request,
        load.streams,
        handle_data,
        lambda: ended_streams == load.streams,
    )
    if phase.tokens != load.streams * load.tokens:
        raise RuntimeError(f"{target.name}: received {phase.tokens} tokens")
    return phase


def measure_requests(target: Target, load: Load) -> Phase:
    """Runs plain requests through the target and returns its CPU time and their number.

    Raises:
        RuntimeError: If the target closes a connection.
    """
    request = target.request_heads["call"] + REQUEST_TAIL % (2, b"{}")
    phase = Phase()

    def handle_data(sock: socket.socket, tail: bytes, data: bytes) -> bytes:
        data_with_tail = tail + data
        if not data_with_tail.endswith(b'{"done":true}'):
            return data_with_tail
        phase.requests += 1
        # Stops early enough for no request to be under way at the end of the phase.
        if phase.requests + load.callers <= load.requests:
            sock.sendall(request)
        return b""

    phase.cpu_seconds = _exchange(
        target,
        request,
        load.callers,
        handle_data,
        lambda: phase.requests >= load.requests,
    )
    return phase


def _exchange(
    target: Target,
    request: bytes,
    connections: int,
    handle_data: Callable[[socket.socket, bytes, bytes], bytes],
    is_done: Callable[[], bool],
) -> float:
    """Sends a request on some connections and reads the answers until done.

    Args:
        target: The process under measurement.
        request: Request that is sent first on each connection.
        connections: Number of connections.
        handle_data: Handles received data. Gets the connection, the end of earlier
            data that was kept for it, and the new data; returns the end to keep.
        is_done: Returns whether all answers were received.

    Returns:
        CPU time of the target in seconds, without the opening of connections.

    Raises:
        RuntimeError: If the target closed a connection.
    """
    with selectors.DefaultSelector() as selector, contextlib.ExitStack() as stack:
        socks = [_open_connection(target.address, stack) for _ in range(connections)]
        tails = dict.fromkeys(socks, b"")
        for sock in socks:
            selector.register(sock, selectors.EVENT_READ)
        before = read_cpu_seconds(target.pid)
        for sock in socks:
            sock.sendall(request)
        while not is_done():
            for key, _ in selector.select(30):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                data = sock.recv(65_536)
                if not data:
                    raise RuntimeError(
                        f"{target.name}: connection closed after {tails[sock]!r}"
                    )
                tails[sock] = handle_data(sock, tails[sock], data)
        return read_cpu_seconds(target.pid) - before


def _open_connection(address: Address, stack: contextlib.ExitStack) -> socket.socket:
    sock = stack.enter_context(socket.create_connection((address.host, address.port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


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
    # Consecutive phases run under the same load of the machine, so the ratio of the
    # targets is the median over the rounds and not the ratio of their medians.
    for name in ("chunk", "request"):
        round_costs = [
            figures[target_name][f"{name}_us_rounds"]
            for target_name in ("router", "copy")
        ]
        ratios = [router / copy for router, copy in zip(*round_costs, strict=True)]
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
        f"ratio per chunk {figures['chunk_ratio']:.2f} "
        f"(aim under {CHUNK_RATIO_GOAL:g}), "
        f"per request {figures['request_ratio']:.2f}; aim per chunk "
        f"{CHUNK_GOAL_US:g} us; load average of the machine "
        f"{figures['load_average']:.1f}"
    )


def main() -> int:
    """Runs the benchmark, prints and writes the figures.

    Returns:
        1 if the cost of a chunk misses one of its two goals, otherwise 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=["upstream", "copy"])
    parser.add_argument("--upstream", help="HOST:PORT behind the copying relay")
    parser.add_argument("--streams", type=int, default=32)
    parser.add_argument("--tokens", type=int, default=500)
    parser.add_argument("--interval-ms", type=float, default=4.0)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--requests", type=int, default=1_500)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--output", type=Path, default=RESULT_PATH)
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
        figures["router"]["chunk_us"] <= CHUNK_GOAL_US
        and figures["chunk_ratio"] < CHUNK_RATIO_GOAL
    )
    return 0 if is_met else 1


if __name__ == "__main__":
    sys.exit(main())
