"""Stand-ins of the platform's store, of replicas and of requesters, on loopback."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
STORE_SECONDS = 0.004
"""Time of an answer of the store."""
RESTART_SECONDS = 0.5
"""Pause before a process that ended is started again."""

Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Message:
    """One HTTP request or answer: first line, header fields and body."""

    start: str
    headers: Headers
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, *, gap: float | None = None
) -> Message | None:
    """Reads one message with a length or in chunks; None at the end of the channel.

    Args:
        reader: Where it comes from.
        gap: Longest pause in seconds between two chunks; None without a limit.

    Raises:
        TimeoutError: If a pause is longer.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers: Headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            async with asyncio.timeout(gap):
                line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


@lru_cache(maxsize=4)
def build_chunks(body: bytes, chunk_bytes: int) -> bytes:
    """Returns a body in chunks; the last one may be shorter."""
    parts = [
        body[start_at : start_at + chunk_bytes]
        for start_at in range(0, len(body), chunk_bytes)
    ]
    chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
    return b"".join([*chunks, b"0\r\n\r\n"])


def build_message(
    start: str, headers: Headers, body: bytes = b"", chunk_bytes: int | None = None
) -> bytes:
    """Returns the bytes of a message with a length, or in chunks of a given size."""
    framing = {"Content-Length": str(len(body))}
    if chunk_bytes is not None:
        framing = {"Transfer-Encoding": "chunked"}
        body = build_chunks(body, chunk_bytes)
    fields = headers | framing
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{start}\r\n{lines}\r\n".encode("latin-1") + body


def reserve_port() -> socket.socket:
    """Returns a bound socket that keeps its port free for one that listens there."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(serve: Serve) -> tuple[asyncio.Server, str]:
    """Starts a server on a free port and returns it with its address."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await serve(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(run, HOST, 0, limit=1 << 16)
    return server, f"{HOST}:{server.sockets[0].getsockname()[1]}"


class Store:
    """The platform's metadata store: rows, transactions with conditions, feeds.

    Attributes:
        is_down: Whether it answers each call with 503.
    """

    def __init__(self) -> None:
        self.address = ""
        self.is_down = False
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._version = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server, self.address = await listen(self._serve)

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row with a JSON document."""
        self._put_bytes(table, key, json.dumps(value).encode())

    def _put_bytes(self, table: str, key: str, value: bytes) -> None:
        self._version += 1
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "schemaVersion": self._version,
        }
        self._rows[table, key] = row
        self._note(row)

    def drop(self, table: str, key: str) -> None:
        """Removes a row."""
        self._version += 1
        self._rows.pop((table, key), None)
        self._note(
            {
                "table": table,
                "part": "",
                "key": key,
                "deleted": True,
                "schemaVersion": self._version,
            }
        )

    def _note(self, change: dict[str, Any]) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, **fields: Any) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {"schemaVersion": self._version, "currentTimeMs": now_ms, **fields}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            await asyncio.sleep(STORE_SECONDS)
            status, document = await self._handle(request)
            if self.is_down:
                status, document = 503, {}
            body = json.dumps(document).encode()
            headers = {"Content-Type": "application/json"}
            writer.write(build_message(f"HTTP/1.1 {status} OK", headers, body))
            await writer.drain()

    async def _handle(self, request: Message) -> tuple[int, dict[str, Any]]:
        target = urlsplit(request.start.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        if target.path == "/api/rows-get":
            table, source = query["table"], query.get("source", "")
            keys = sorted(k for t, k in self._rows if t == table and k >= source)
            rows = [self._rows[table, key] for key in keys[:500]]
            return 200, self._answer(rows=rows, hasMore=len(keys) > len(rows))
        if target.path == "/api/rows-feed":
            return 200, await self._follow(query)
        return self._apply(json.loads(request.body))

    async def _follow(self, query: dict[str, str]) -> dict[str, Any]:
        ends_at = time.monotonic() + int(query.get("waitTimeoutMs", "0")) / 1000
        after = int(query["after"])
        while True:
            rows = [
                change
                for change in self._changes
                if change["schemaVersion"] > after and change["table"] == query["table"]
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return self._answer(rows=rows)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _apply(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for condition in document["expectedRevision"]:
            row = self._rows.get((condition["table"], condition["key"]))
            if (row["schemaVersion"] if row else 0) != condition["schemaVersion"]:
                return 412, self._answer(rows=[row] if row else [])
        for row in document["write"]:
            self._put_bytes(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in document["removals"]:
            self.drop(row["table"], row["key"])
        return 200, self._answer()


Run = Callable[["Replica", Message, asyncio.StreamWriter], Awaitable[None]]


class Replica:
    """A replica: its entry in the store, and one request at a time on a channel.

    Args:
        run: Runs one request and writes its answer.
        slots: Requests that it runs at the same time; others are turned away unrun.
    """

    def __init__(
        self, store: Store, service: str, name: str, run: Run, *, slots: int = 6
    ) -> None:
        self.service, self.name = service, name
        self.address = ""
        self._store, self._run, self._slots = store, run, slots
        self._running = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        """Starts to listen and to renew its entry."""
        self._server, self.address = await listen(self._serve)
        self._put_entry()
        self._beats = asyncio.create_task(self._send_beats())

    def _put_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "jm-south-a",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.put("servers", self.name, entry)

    async def _send_beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._put_entry()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            await self.answer(request, writer)
            await writer.drain()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Runs a request if it is for this replica and a slot is free."""
        own = {"X-Attempt-Id": request.headers.get("x-attempt-id", "")}
        if request.headers.get("x-expected-instance") != self.name:
            headers = own | {"X-Instance-Id": self.name}
            writer.write(build_message("HTTP/1.1 421 Misdirected Request", headers))
        elif self._running >= self._slots:
            headers = own | {"X-Not-Executed": "1"}
            writer.write(build_message("HTTP/1.1 503 Service Unavailable", headers))
        else:
            self._running += 1
            try:
                await self._run(self, request, writer)
            finally:
                self._running -= 1


def build_success(request: Message, body: bytes) -> bytes:
    """Returns a replica's successful answer."""
    headers = {
        "X-Attempt-Id": request.headers["x-attempt-id"],
        "X-Server-Signature": f"{len(body):x}.07.5a2.600.0.c9f2a4d1",
        "Content-Type": "application/octet-stream",
    }
    return build_message("HTTP/1.1 200 OK", headers, body)


@dataclass
class Router:
    """A router process with the settings that the deploy template makes.

    A machine ends a process whose memory exceeds its limit, and starts it again.

    Attributes:
        ends: How often the process ended, with the reason.
        peak_mb: Largest resident memory that was seen, in MB.
    """

    name: str
    store: Store
    folder: Path
    record: Record
    memory_limit_mb: int
    ends: list[str] = field(default_factory=list)
    peak_mb: float = 0.0
    process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        # Kept while the process is down, so that no other one takes its ports.
        self._reservations = [reserve_port() for _ in range(4)]
        self.http, self.ready, self.control, self.metrics = (
            f"{HOST}:{sock.getsockname()[1]}" for sock in self._reservations
        )
        self._path = self.folder / f"{self.name}.json"
        # The fields of deploy/router.json.tmpl, with the bounds of pinfall-yard.
        settings = {
            "router_id": self.name,
            "zone": "jm-south-a",
            "policy": "shared-load",
            "http": self.http,
            "control": self.control,
            "platform": self.store.address,
            "descriptors": 4100,
            "gateway": {
                "ready": self.ready,
                "metrics": self.metrics,
                "repeats": {"ratio": 0.2, "window": 10, "extra": 56},
                "revocation_limit": 5.0,
                "leaving_bound": 2.0,
                "configuration_bound": 2.0,
                "grace": 8,
            },
        }
        self._path.write_text(json.dumps(settings))

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        command = ["python3", "-m", "sequoiamoor", "router", "--settings"]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [*command, str(self._path)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, seconds: float = 15.0) -> bool:
        """Waits until the process says that it is ready."""
        ends_at = time.monotonic() + seconds
        request = build_message("GET /api/readiness HTTP/1.1", {"Host": "x"})
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError):
                answer = await exchange_once(self.ready, request)
                if answer is not None and " 200" in answer.start:
                    return True
            await asyncio.sleep(0.1)
        return False

    def read_memory_mb(self) -> float:
        """Returns the resident memory of the process in MiB; 0 if it has ended."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def watch(self) -> None:
        """Acts as the machine: memory limit, and restart of a process that ended."""
        while True:
            assert self.process is not None
            used_mb = self.read_memory_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            reason = ""
            if self.process.poll() is not None:
                reason = f"exit code {self.process.returncode}"
            elif used_mb > self.memory_limit_mb:
                reason = f"memory {used_mb:.0f} MB over {self.memory_limit_mb} MB"
                self.process.send_signal(signal.SIGKILL)
                self.process.wait()
            if reason:
                self.ends.append(reason)
                self.record.write(f"{self.name} ended by itself: {reason}")
                await asyncio.sleep(RESTART_SECONDS)
                self.start()
            await asyncio.sleep(0.02)

    def kill(self) -> None:
        """Kills the process, as a machine that fails does."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def stop(self) -> None:
        """Ends the process and frees its ports."""
        for sock in self._reservations:
            sock.close()
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def exchange_once(address: str, request: bytes) -> Message | None:
    """Sends a request on a new channel and returns the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 16)
    try:
        writer.write(request)
        return await read_message(reader)
    finally:
        writer.close()
