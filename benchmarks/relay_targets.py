"""The processes that the relay benchmark measures, and their request heads."""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sequoiamoor.standin.client import put_configuration, put_vms, wait_ready
from sequoiamoor.standin.processes import (
    end_processes,
    find_free_port,
    read_listening,
    start_process,
)
from sequoiamoor.types import Address

from .relay_roles import HOST

DECLARATION: dict[str, Any] = {
    "organisations": {"a": {}},
    "classes": {"chat": {"first_token_ms": 800}},
    "services": {"talk": {"kind": "engine"}, "look": {"kind": "plain"}},
}


@dataclass
class Phase:
    """Cost and traffic of one process in one phase.

    Attributes:
        cpu_seconds: CPU time of the process.
        tokens: Tokens that the callers received.
        chunks: HTTP chunks that carried them.
        requests: Plain requests that were answered.
    """

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
class Target:
    """A process under measurement.

    Attributes:
        name: ``router`` or ``copy``.
        pid: Identifier of the process.
        address: Address for callers.
        request_heads: Request line and headers for ``stream`` and for ``call``.
        token_phases: Phases with streams so far.
        request_phases: Phases with plain requests so far.
    """

    name: str
    pid: int
    address: Address
    request_heads: dict[str, bytes]
    token_phases: list[Phase] = field(default_factory=list)
    request_phases: list[Phase] = field(default_factory=list)


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
            _configure_platform(platform, upstream)
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
                    {
                        "stream": _build_router_head("talk"),
                        "call": _build_router_head("look"),
                    },
                ),
                Target(
                    "copy",
                    relay_pid,
                    relay,
                    {
                        "stream": _build_copy_head("generate"),
                        "call": _build_copy_head("call"),
                    },
                ),
            ]
        finally:
            end_processes(processes)


def _build_router_head(service: str) -> bytes:
    head = f"POST /v1/services/{service}/calls HTTP/1.1\r\nHost: r\r\n"
    head += "X-Organisation: a\r\nX-Class: chat\r\n"
    if service == "talk":
        head += "Accept: text/event-stream\r\n"
    return head.encode()


def _build_copy_head(path: str) -> bytes:
    return f"POST /v1/{path} HTTP/1.1\r\nHost: r\r\nX-Call-Id: router.1.1\r\n".encode()


def _configure_platform(platform: Address, upstream: Address) -> None:
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
