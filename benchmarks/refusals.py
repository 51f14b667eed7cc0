"""CPU time of a router's listener per refusal, and how late its event loop runs.

A child process runs the route listener. The parent sends requests that are refused: as
fast as they are answered, for the CPU time of one refusal, or at a fixed rate for the
lag. Only the child's CPU time is counted.
"""

from __future__ import annotations

import argparse
import cProfile
import json
import multiprocessing
import pstats
import selectors
import socket
import statistics
import time
from collections.abc import Iterator
from multiprocessing.connection import Connection
from random import Random
from typing import Any

import curio

from sequoiamoor.core.blackboard import create_blackboard
from sequoiamoor.core.directory import UpstreamDirectory
from sequoiamoor.core.freshness import KeyFreshness
from sequoiamoor.core.repeats import RepeatBudget, RepeatLimits
from sequoiamoor.daemon.dispatcher import Dispatcher
from sequoiamoor.daemon.forwarder import Forwarder
from sequoiamoor.daemon.route_listener import RouteListener
from sequoiamoor.declaration import parse_declaration
from sequoiamoor.logs import configure_logs
from sequoiamoor.metrics import Metrics
from sequoiamoor.net.acceptor import Acceptor
from sequoiamoor.net.http import Request
from sequoiamoor.options import Options
from sequoiamoor.platform import callers, replicas
from sequoiamoor.policies.round_robin import RoundRobinPolicy
from sequoiamoor.settings import LimitSettings
from sequoiamoor.types import RouterIdentity

HOST = "127.0.0.1"
KEY = "key-1"
DECLARATION: dict[str, Any] = {
    "organisations": {"captains": {"keys": [KEY]}},
    "classes": {},
    "services": {"talk": {"kind": "engine", "event_tokens": 7}},
    "routes": {
        "chat": {
            "host": "alley.example",
            "prefix": "/chat/",
            "kind": "stream",
            "timeout_ms": 4_000,
            "target_ms": 2_000,
            "attempts": 2,
            "is_public": False,
            "services": [["talk", 1]],
        }
    },
}
REQUEST = (
    b"POST /chat/2f HTTP/1.1\r\nHost: alley.example\r\nX-Attempt-Id: 9c41d07be2a35f68"
    b"\r\nX-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Deadline-Ms: 15000\r\n"
    b"X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
    b"Authorization: Bearer %b\r\nContent-Length: 2\r\n\r\n{}"
)
KEYS = {"key-unknown": b"key-2"}
CASES = {
    "wait-limit-unreachable": {"is_loaded": True},
    "key-unknown": {},
    "keys-uncertain": {"key_age_limit": 1.0},
    "too-many-connections": {"connections": 1},
}
"""Refusals by their codes, with the changes of the listener that lead to them."""

LAG_INTERVAL_SECONDS = 0.01


async def _watch_lag(lags: list[float]) -> None:
    while True:
        due_at = time.monotonic() + LAG_INTERVAL_SECONDS
        await curio.sleep(LAG_INTERVAL_SECONDS)
        lags.append(time.monotonic() - due_at)


async def _listen(pipe: Connection, changes: dict[str, Any]) -> None:
    metrics = Metrics()
    board = create_blackboard(
        RouterIdentity("router-0", 1, "zone-a"), Options.model_validate({})
    )
    board.configuration.declaration = parse_declaration(DECLARATION)
    board.configuration.version = 1
    dispatcher = Dispatcher(
        board, RoundRobinPolicy(rng=Random(1)), min_queued_requests=1
    )
    forwarder = Forwarder(
        board,
        dispatcher,
        metrics,
        caller_format=callers,
        upstream_format=replicas,
        budget=RepeatBudget(RepeatLimits(ratio=0.2, window=10.0, extra=20.0)),
        freshness=KeyFreshness(changes.get("key_age_limit")),
        directory=UpstreamDirectory(board.upstreams),
        rng=Random(1),
    )
    limits = LimitSettings.model_validate(
        {"connections": changes.get("connections", 10_000)}
    )
    listener = RouteListener(board, forwarder, metrics, limits=limits)
    acceptor = Acceptor(
        curio.network.tcp_server_socket(HOST, 0, backlog=1_024),
        listener.accept,
        name="callers",
        limit=listener.connection_limit,
        observer=metrics,
        end_at_once=listener.refuse_at_once,
    )
    if changes.get("is_loaded"):
        _load(board, dispatcher, forwarder)
    lags: list[float] = []
    await curio.spawn(acceptor.run, daemon=True)
    pipe.send(acceptor.address[1])
    while not pipe.poll():
        await curio.sleep(LAG_INTERVAL_SECONDS)
    # Start and end of the measurement.
    pipe.recv()
    watch = await curio.spawn(_watch_lag, lags, daemon=True)
    cpu_start = time.process_time()
    while not pipe.poll():
        await curio.sleep(LAG_INTERVAL_SECONDS)
    pipe.recv()
    cpu_seconds = time.process_time() - cpu_start
    await watch.cancel()
    pipe.send((cpu_seconds, lags))


def _load(board: Any, dispatcher: Dispatcher, forwarder: Forwarder) -> None:
    """Queues one request that never starts, and makes the expected wait long."""
    request = Request(
        "POST",
        "/chat/1",
        "",
        {"host": "alley.example", "authorization": f"Bearer {KEY}"},
        target=b"/chat/1",
    )
    call = forwarder._calls.parse(request, "waiting", time.monotonic())
    dispatcher.accept(call)
    rate = dispatcher._overload.rates["talk", "captains"]
    rate.waiting_time, rate.is_waiting = 1_000.0, True


def _run_child(pipe: Connection, changes: dict[str, Any], profile: bool) -> None:
    configure_logs("info")
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    curio.run(_listen, pipe, changes)
    if profile:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(45)


def _connect(port: int) -> socket.socket:
    sock = socket.create_connection((HOST, port))
    sock.setblocking(False)
    return sock


def _flood_closed(
    port: int, request: bytes, *, connections: int, count: int, kept: bool
) -> set[bytes]:
    """Sends requests on some connections as fast as they are answered."""
    selector = selectors.DefaultSelector()
    statuses = set()
    for _ in range(connections):
        sock = _connect(port)
        sock.send(request)
        selector.register(sock, selectors.EVENT_READ)
    answered = 0
    while answered < count:
        for key, _ in selector.select():
            sock = key.fileobj  # type: ignore[assignment]
            data = sock.recv(65_536)
            if data:
                statuses.add(data[:12])
                answered += 1
                if kept:
                    sock.send(request)
                    continue
            selector.unregister(sock)
            sock.close()
            sock = _connect(port)
            sock.send(request)
            selector.register(sock, selectors.EVENT_READ)
    return statuses


def _flood_open(port: int, request: bytes, *, rate: float, seconds: float) -> int:
    """Opens connections at a fixed rate with a request each; returns the answers."""
    selector = selectors.DefaultSelector()
    started_at = time.monotonic()
    sent = answered = 0
    while (elapsed := time.monotonic() - started_at) < seconds:
        while sent < elapsed * rate:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((HOST, port))
            selector.register(sock, selectors.EVENT_WRITE)
            sent += 1
        for key, mask in selector.select(0.001):
            sock = key.fileobj  # type: ignore[assignment]
            if mask & selectors.EVENT_WRITE:
                sock.send(request)
                selector.modify(sock, selectors.EVENT_READ)
                continue
            answered += bool(sock.recv(65_536))
            selector.unregister(sock)
            sock.close()
    return answered


def measure(case: str, *, kept: bool, arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs one flood against a listener of its own and returns its figures."""
    here, there = multiprocessing.Pipe()
    child = multiprocessing.Process(
        target=_run_child, args=(there, CASES[case], arguments.profile)
    )
    child.start()
    port = here.recv()
    request = REQUEST % KEYS.get(case, KEY.encode())
    holder = _connect(port)
    time.sleep(0.1)
    here.send(None)
    result: dict[str, Any] = {"case": case, "kept": kept}
    if arguments.rate:
        result["answered"] = _flood_open(
            port, request, rate=arguments.rate, seconds=arguments.seconds
        )
    else:
        statuses = _flood_closed(
            port,
            request,
            connections=arguments.connections,
            count=arguments.count,
            kept=kept,
        )
        result["answered"] = arguments.count
        result["statuses"] = sorted(status.decode() for status in statuses)
    here.send(None)
    cpu_seconds, lags = here.recv()
    holder.close()
    child.join()
    result["cpu_us"] = round(cpu_seconds / max(result["answered"], 1) * 1e6, 1)
    if arguments.rate:
        result["cpu_seconds"] = round(cpu_seconds, 2)
    result["lag_median_ms"] = round(statistics.median(lags) * 1000, 1)
    result["lag_max_ms"] = round(max(lags) * 1000, 1)
    return result


def _list_runs(case: str | None, rate: float) -> Iterator[tuple[str, bool]]:
    for name in [case] if case else list(CASES):
        # A connection over the limit is never kept.
        if not rate and name != "too-many-connections":
            yield name, True
        yield name, False


def main() -> None:
    """Measures all cases, or one, and prints one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", choices=CASES)
    parser.add_argument("--count", type=int, default=5_000)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--rate", type=float, default=0.0, help="connections/s")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    for case, kept in _list_runs(arguments.case, arguments.rate):
        print(json.dumps(measure(case, kept=kept, arguments=arguments)), flush=True)


if __name__ == "__main__":
    main()
