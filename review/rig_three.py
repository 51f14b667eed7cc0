"""Stand-ins of the store, and router processes, for the cases from 11 on.

Standard library only. Every address is a loopback address.
"""

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
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]


def free_port(host: str) -> int:
    """Returns a port that is free at the address now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def free_common_port(hosts: list[str]) -> int:
    """Returns a port that is free at all of the addresses now."""
    while True:
        port = free_port(hosts[0])
        try:
            for host in hosts:
                with socket.socket() as sock:
                    sock.bind((host, port))
            return port
        except OSError:
            continue


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the fields of a message; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    fields: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Returns a chunked body; raises IncompleteReadError if it breaks off."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Returns the body of a message with a length or in chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        return await read_chunks(reader)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's store: rows, a feed and transactions."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.changes: list[dict] = []
        self.version = 100
        self.oldest = 0
        self.era = 1
        self.started = time.monotonic()
        self.is_closed = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Starts to serve; returns the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def put(self, table: str, key: str, value: object) -> float:
        """Writes a row; returns the monotonic time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(data).decode(),
            "schemaVersion": self.version,
        }
        self.rows[table, key] = row
        self.changes.append(row)
        return time.monotonic()

    def drop(self, table: str, key: str) -> float:
        """Removes a row; returns the monotonic time of the acknowledgement."""
        self.version += 1
        self.rows.pop((table, key), None)
        self.changes.append(
            {
                "table": table,
                "part": "",
                "key": key,
                "deleted": True,
                "schemaVersion": self.version,
            }
        )
        return time.monotonic()

    def copy(self) -> tuple[dict, int]:
        """Returns a copy from which the store can be restored."""
        return dict(self.rows), self.version

    def restore(self, copied: tuple[dict, int]) -> None:
        """Replaces the rows by those of a copy, and begins the next era."""
        self.era += 1
        self.rows, self.version = dict(copied[0]), copied[1]
        self.changes, self.oldest = [], copied[1]

    def _answer(self, **fields: object) -> dict:
        now = round(5_000 + (time.monotonic() - self.started) * 1000, 3)
        return {"schemaVersion": self.version, "currentTimeMs": now, **fields}

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                if self.is_closed:
                    break
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, document = await self._handle(url.path, query, body)
                if self.is_closed:
                    break
                data = json.dumps(document).encode()
                era = f"Store-Era: {self.era}\r\n"
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, path: str, query: dict, body: bytes) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        if path == "/api/rows-get":
            keys = sorted(
                key
                for table, key in self.rows
                if table == query["table"] and key >= query.get("source", "")
            )
            rows = [self.rows[query["table"], key] for key in keys[:500]]
            return 200, self._answer(rows=rows, hasMore=len(keys) > 500)
        if path == "/api/rows-feed":
            after = int(query["after"])
            if not self.oldest <= after <= self.version:
                return 410, {}
            ends_at = time.monotonic() + min(int(query["waitTimeoutMs"]), 30_000) / 1000
            era = self.era
            while True:
                if self.era != era:
                    return 410, {}
                rows = [
                    one
                    for one in self.changes
                    if one["schemaVersion"] > after and one["table"] == query["table"]
                ]
                if rows or time.monotonic() >= ends_at:
                    return 200, self._answer(rows=rows)
                await asyncio.sleep(0.01)
        if path == "/api/rows-tx":
            document = json.loads(body)
            for condition in document["expectedRevision"]:
                row = self.rows.get((condition["table"], condition["key"]))
                if (row["schemaVersion"] if row else 0) != condition["schemaVersion"]:
                    return 412, self._answer(rows=[row] if row else [])
            for row in document["write"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in document["removals"]:
                self.drop(row["table"], row["key"])
            return 200, self._answer()
        return 404, {}


class Router:
    """One router process with the command of the deploy file."""

    def __init__(
        self,
        number: int,
        folder: Path,
        store: str,
        ports: dict[str, int],
        zone: str = "zone-a",
        memory_mb: int = 300,
        **gateway: object,
    ) -> None:
        self.host = f"127.0.1.{10 + number}"
        self.name = f"frontend-{zone}-{number}"
        self.http = (self.host, ports["http"])
        self.ready = (self.host, ports["ready"])
        self.settings = folder / f"router-{number}.json"
        self.log = folder / f"router-{number}.log"
        self.process: subprocess.Popen | None = None
        self.settings.write_text(
            json.dumps(
                {
                    "router_id": self.name,
                    "zone": zone,
                    "policy": "shared-load",
                    "http": f"{self.host}:{ports['http']}",
                    "control": f"{self.host}:{ports['control']}",
                    "platform": store,
                    "descriptors": 4100,
                    "memory_mb": memory_mb,
                    "gateway": {
                        "ready": f"{self.host}:{ports['ready']}",
                        "metrics": f"{self.host}:{ports['metrics']}",
                        "handoff": f"{self.host}:{ports['handoff']}",
                        "repeats": {"ratio": 0.2, "window": 10, "extra": 56},
                        "revocation_limit": 5.0,
                        "leaving_bound": 2.0,
                        "configuration_bound": 2.0,
                        "reads_ahead": True,
                        "grace": 8.0,
                        **gateway,
                    },
                }
            )
        )

    def start(self) -> None:
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            ["python3", "-m", "sequoiamoor", "router"]
            + ["--settings", str(self.settings)],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    def send(self, number: int) -> None:
        """Sends a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.send(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, seconds: float = 20.0) -> bool:
        """Waits until the router says that it is ready; returns whether it did."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, asyncio.TimeoutError, ConnectionError):
                if await asyncio.wait_for(ask_ready(self.ready), 1.0):
                    return True
            await asyncio.sleep(0.1)
        return False


async def ask_ready(address: tuple[str, int]) -> bool:
    """Returns whether the router at an address says that it is ready."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await read_head(reader)
        return head is not None and " 200 " in head[0] + " "
    finally:
        writer.close()


def pick_ports(count: int) -> dict[str, int]:
    """Returns ports that are free at the addresses of all routers."""
    hosts = [f"127.0.1.{10 + number}" for number in range(1, count + 1)]
    names = ("http", "control", "ready", "metrics", "handoff")
    ports: dict[str, int] = {}
    for name in names:
        while (port := free_common_port(hosts)) in ports.values():
            pass
        ports[name] = port
    return ports


class Record:
    """Lines on what was sent, answered and run.

    Attributes:
        lines: The lines without their times.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Adds a line with the time since the start."""
        self.lines.append(text)
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")

    def close(self) -> None:
        """Ends the record."""
        self._file.close()
