"""Stand-ins and helpers of cases 6 to 10: platform, replicas, callers, routers.

Only the standard library is used. The routers are the processes of the deploy file; the
rest runs on one event loop of the script.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parent.parent
TEMPLATE = REPOSITORY / "deploy" / "router.json.tmpl"
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a script."""

BOUNDS: dict[str, Any] = {
    "drainTimeoutMs": 2_000,
    "gracePeriodS": 8,
    "configApplyMs": 2_000,
    "revocationStrict": True,
    "revocationMs": 5_000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetExtra": 56,
}
"""Bounds of the site pinfall-yard that the template uses."""

LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
    "tokensPerS": 370_000,
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file that tells what was sent, answered and run.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Message:
    """Head and body of a request or an answer; field names are in lower case."""

    start: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next head; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.partition(":") for line in lines]
    return Message(start, {name.lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message with its body; None if it does not come whole."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            length = int(message.fields.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def build_message(start: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with Content-Length."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Store:
    """The platform's store in its form of tables, without faults."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._version = 100
        self._changed = asyncio.Condition()
        self._created_at = time.monotonic()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def listen(self, host: str) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def put(self, table: str, key: str, document: Any, part: str = "") -> None:
        """Writes a row, as the operator or a replica does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        async with self._changed:
            self._version += 1
            self._put_row(table, part, key, value)
            self._changed.notify_all()

    def _put_row(self, table: str, part: str, key: str, value: str) -> None:
        row = {"table": table, "part": part, "key": key, "value": value}
        row["schemaVersion"] = self._version  # type: ignore[assignment]
        self.rows[table, part, key] = row
        self._changes.append(row)

    def _build_answer(self, **fields: Any) -> dict[str, Any]:
        elapsed_ms = (time.monotonic() - self._created_at) * 1_000
        return {
            "schemaVersion": self._version,
            "currentTimeMs": round(elapsed_ms),
            **fields,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                method, target, _ = request.start.split(" ")
                status, document = await self._answer(method, target, request.body)
                body = json.dumps(document).encode()
                fields = {"Content-Type": "application/json"}
                writer.write(build_message(f"HTTP/1.1 {status} X", fields, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        path, _, query = target.partition("?")
        pairs = (item.partition("=") for item in query.split("&"))
        asked = {name: value for name, _, value in pairs}
        if (method, path) == ("GET", "/api/rows-get"):
            wanted = (asked["table"], asked.get("part", ""))
            rows = [row for key, row in sorted(self.rows.items()) if key[:2] == wanted]
            return 200, self._build_answer(rows=rows, hasMore=False)
        if (method, path) == ("GET", "/api/rows-feed"):
            wait = int(asked["waitTimeoutMs"]) / 1_000
            return await self._follow(asked["table"], int(asked["after"]), wait)
        if (method, path) == ("POST", "/api/rows-tx"):
            return await self._change(json.loads(body))
        return 404, {}

    async def _follow(self, table: str, after: int, wait: float) -> tuple[int, Any]:
        def list_rows() -> list[dict[str, Any]]:
            return [
                row
                for row in self._changes
                if row["table"] == table and row["schemaVersion"] > after
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(list_rows)
            except TimeoutError:
                pass
            return 200, self._build_answer(rows=list_rows())

    async def _change(self, document: dict[str, Any]) -> tuple[int, Any]:
        async with self._changed:
            conditions = document.get("expectedRevision", [])
            known = [
                self.rows.get((one["table"], one.get("part", ""), one["key"]))
                for one in conditions
            ]
            for one, row in zip(conditions, known, strict=True):
                if one["schemaVersion"] != (row["schemaVersion"] if row else 0):
                    present = [row for row in known if row]
                    return 412, self._build_answer(rows=present)
            self._version += 1
            for one in document.get("write", []):
                self._put_row(
                    one["table"], one.get("part", ""), one["key"], one["value"]
                )
            for one in document.get("removals", []):
                place = (one["table"], one.get("part", ""), one["key"])
                if self.rows.pop(place, None) is not None:
                    table, part, key = place
                    gone = {"table": table, "part": part, "key": key, "deleted": True}
                    gone["schemaVersion"] = self._version  # type: ignore[assignment]
                    self._changes.append(gone)
            self._changed.notify_all()
            return 200, self._build_answer()


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def start_replica(
    store: Store,
    host: str,
    replica_id: str,
    service: str,
    serve: Serve,
    *,
    zone: str = "jm-south-a",
    slots: int = 6,
    receive_buffer: int | None = None,
) -> str:
    """Starts a replica on a free port, writes its entry and returns its address."""
    sock = socket.socket()
    if receive_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.bind((host, 0))
    await asyncio.start_server(serve, sock=sock, limit=1 << 16)
    address = f"{host}:{sock.getsockname()[1]}"
    await put_replica(store, address, replica_id, service, zone=zone, slots=slots)
    return address


async def put_replica(
    store: Store,
    address: str,
    replica_id: str,
    service: str,
    *,
    zone: str = "jm-south-a",
    slots: int = 6,
) -> None:
    """Writes the entry of a replica that has started."""
    entry = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": round(time.time() * 1_000),
    }
    await store.put("servers", replica_id, entry)


def _render(template: str, context: dict[str, Any]) -> str:
    """Renders the parts of the template language that the deploy file uses."""

    def find(path: str) -> Any:
        value: Any = context
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else value.get(name)
        return value

    def keep(is_wanted: bool) -> Callable[[re.Match[str]], str]:
        return lambda found: found[2] if bool(find(found[1])) == is_wanted else ""

    section = r"\{\{%s([\w.]+)\}\}(.*?)\{\{/\1\}\}"
    text = re.sub(section % "#", keep(True), template, flags=re.DOTALL)
    text = re.sub(section % r"\^", keep(False), text, flags=re.DOTALL)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda one: json.dumps(find(one[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda one: str(find(one[1])), text)


def choose_host() -> str:
    """Returns a loopback address for one machine of the case."""
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{os.getpid() % 250}"


@dataclass
class Router:
    """A router process of the deploy file on a loopback address of its own."""

    name: str
    store: Store
    folder: Path
    zone: str = "jm-south-a"
    host: str = field(default_factory=choose_host)
    process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        """Chooses free ports and writes the settings."""
        ports = []
        socks = [socket.socket() for _ in range(4)]
        for sock in socks:
            sock.bind((self.host, 0))
            ports.append(sock.getsockname()[1])
        for sock in socks:
            sock.close()
        self.port, self.ready_port = ports[:2]
        context = {
            "nodeName": self.name,
            "zone": self.zone,
            "ipAddress": self.host,
            "internalPortRange": [7_400, 7_415],
            "listenAddresses": {
                "frontend": f"{self.host}:{self.port}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            "platform": {"address": self.store.address},
            "limits": {"fileDescriptors": 4_100, "memoryLimitMb": 300},
            "bounds": BOUNDS,
        }
        text = _render(TEMPLATE.read_text(encoding="utf-8"), context)
        self.settings = self.folder / f"{self.name}.json"
        self.settings.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        log = (self.folder / f"{self.name}.log").open("ab")
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        command = ["python3", "-m", "sequoiamoor", "router", "--settings"]
        self.process = subprocess.Popen(
            [*command, str(self.settings)],
            cwd=REPOSITORY,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Asks the router whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await read_message(reader)
            return answer is not None and answer.status == 200
        except ConnectionError:
            return False
        finally:
            writer.close()

    async def read_metric(self, name: str) -> float:
        """Returns the sum of the samples of a metric of the router."""
        answer = await send_request(
            self.host, 9_464, "GET /metrics HTTP/1.1", {"Host": "x"}, timeout=1.0
        )
        if answer is None or answer.status != 200:
            raise CaseError(f"{self.name} tells no metrics")
        samples = [line.rpartition(" ") for line in answer.body.decode().splitlines()]
        return sum(
            float(value)
            for sample, _, value in samples
            if sample.partition("{")[0] == name and 'end="refused"' not in sample
        )

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Waits until the router is ready.

        Raises:
            CaseError: If it is not within the time.
        """
        ends_at = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() >= ends_at:
                raise CaseError(f"{self.name} is not ready; see its log")
            await asyncio.sleep(0.1)


async def send_request(
    host: str,
    port: int,
    start: str,
    fields: dict[str, str],
    body: bytes = b"",
    *,
    timeout: float,
) -> Message | None:
    """Sends a request on a new connection.

    Returns:
        The answer; None if there is none, or no whole one, within the time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(build_message(start, fields, body))
            return await read_message(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


def new_id() -> str:
    """Returns an identifier of an attempt."""
    return f"{random.getrandbits(64):016x}"


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Plays a case within 115 s and exits with its status."""

    async def play_in_time(temporary: Path) -> int:
        record = Record(folder)

        def note_error(loop: asyncio.AbstractEventLoop, context: Any) -> None:
            error = context.get("exception")
            if not isinstance(error, asyncio.CancelledError):
                record.write(f"error in a stand-in: {context['message']} {error!r}")

        asyncio.get_running_loop().set_exception_handler(note_error)
        record.write(f"TROUBLE={int(IS_TROUBLED)}")
        try:
            async with asyncio.timeout(115):
                status = await play(record, temporary)
        except (CaseError, TimeoutError, OSError) as error:
            record.write(f"the case could not run: {error!r}")
            for log in temporary.glob("*.log"):
                record.write(f"{log.name}: {log.read_text()[-2_000:]}")
            return NOT_RUN
        record.write(f"exit status {status}")
        return status

    with tempfile.TemporaryDirectory() as temporary:
        status = asyncio.run(play_in_time(Path(temporary)))
    sys.exit(status)
