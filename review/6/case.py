"""Loses the answer to a request that waits behind a long body its replica refused.

The replica refuses the long request before it has read it, keeps the connection and
reads on later. With TROUBLE=0 no answer is lost.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_two import (
    BROKEN,
    HELD,
    IS_TROUBLED,
    LIMITS,
    NOT_RUN,
    Record,
    Router,
    Store,
    build_message,
    choose_host,
    new_id,
    put_replica,
    run_case,
    send_request,
)

HOST = "desk.example"
KEY = "k7b2ex5wa5xw"
LONG_BYTES = 2_000_000
"""Length from which a body is too long for the replicas."""
PROBE_BYTES = 1_000_000
READ_ON_SECONDS = 0.2
WORK_SECONDS = 0.0225
ROUNDS = 60
SHORT_REQUESTS = 15
"""Further holds of a round, so that one request in twenty is long."""
WINDOW_BYTES = 4_096
"""Receive buffer of the replicas; the links of the platform have small windows."""

MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "lane-hold",
            "host": HOST,
            "pathPrefix": "/holds/",
            "kind": "non_idempotent",
            "timeoutMs": 800,
            "targetLatencyMs": 125,
            "priority": 2,
            "service": "lane-desk",
            "maxAttempts": 1,
            "public": False,
        }
    ],
    "services": [
        {
            "name": "lane-desk",
            "healthPath": "/healthz",
            "connectionLimit": 110,
            "protocol": "h1",
            "transportSecurity": False,
        }
    ],
    "limits": LIMITS,
    "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
}


def listen(host: str) -> socket.socket:
    """Returns a listening socket whose connections have small windows."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.bind((host, 0))
    sock.listen(64)
    sock.setblocking(False)
    return sock


async def measure_capacity(host: str) -> int:
    """Returns how many bytes a connection takes while its peer reads nothing."""
    with listen(host) as listener, socket.socket() as sender:
        sender.connect(listener.getsockname())
        sender.setblocking(False)
        sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = memoryview(bytes(LIMITS["maxBodyBytes"] * 2))
        taken = 0
        ends_at = time.monotonic() + 0.3
        while time.monotonic() < ends_at:
            try:
                taken += sender.send(data[taken:])
            except BlockingIOError:
                await asyncio.sleep(0.005)
        return taken


class Replica:
    """A replica that refuses long requests before it has read them.

    Attributes:
        head_bytes: Length of the head of the probe.
    """

    def __init__(self, name: str, record: Record, runs: Counter[str]) -> None:
        self.name = name
        self._record = record
        self._runs = runs
        self.head_bytes = 0

    async def run(self, listener: socket.socket) -> None:
        """Accepts connections until cancelled."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as tasks:
            while True:
                sock, _ = await loop.sock_accept(listener)
                tasks.create_task(self._serve(sock))

    async def _peek_head(self, sock: socket.socket) -> bytes:
        """Returns the head of the next request, of which nothing is read."""
        while True:
            try:
                data = sock.recv(16_384, socket.MSG_PEEK)
            except BlockingIOError:
                data = None
            if data == b"":
                return b""
            head, found, _ = (data or b"").partition(b"\r\n\r\n")
            if found:
                return head + found
            await asyncio.sleep(0.002)

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        is_behind_long = False
        try:
            while head := await self._peek_head(sock):
                fields = dict(
                    line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
                )
                length = int(fields.get(b"content-length", b"0"))
                attempt_id = fields[b"x-attempt-id"].decode()
                echo = {"X-Attempt-Id": attempt_id}
                if length == PROBE_BYTES:
                    self.head_bytes = len(head)
                if length >= LONG_BYTES:
                    self._record.write(f"{self.name} refuses {attempt_id} unread")
                    refusal = {**echo, "X-Not-Executed": "1"}
                    answer = build_message("HTTP/1.1 503 Busy", refusal, b"too long")
                    await loop.sock_sendall(sock, answer)
                    await asyncio.sleep(READ_ON_SECONDS)
                unread = len(head) + length
                while unread:
                    data = await loop.sock_recv(sock, min(unread, 65_536))
                    if not data:
                        return
                    unread -= len(data)
                if length >= LONG_BYTES:
                    self._record.write(f"{self.name} has read {attempt_id}")
                    is_behind_long = True
                    continue
                self._runs[attempt_id] += 1
                self._record.write(f"{self.name} runs {attempt_id}")
                await asyncio.sleep(WORK_SECONDS)
                if is_behind_long and IS_TROUBLED:
                    self._record.write(f"the answer to {attempt_id} is lost")
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                    )
                    return
                signed = {**echo, "X-Server-Signature": "s", "Connection": "close"}
                await loop.sock_sendall(
                    sock, build_message("HTTP/1.1 200 OK", signed, b"held")
                )
                return
        except ConnectionError:
            return
        finally:
            sock.close()


async def play(record: Record, folder: Path) -> int:
    """Plays the case; returns its exit status."""
    store = Store()
    await store.listen(choose_host())
    await store.put("op", "config", MANIFEST)
    runs: Counter[str] = Counter()
    replicas = [Replica(f"i-{number}", record, runs) for number in (1, 2)]
    tasks = []
    for replica in replicas:
        listener = listen(choose_host())
        host, port = listener.getsockname()
        tasks.append(asyncio.create_task(replica.run(listener)))
        await put_replica(store, f"{host}:{port}", replica.name, "lane-desk")
    router = Router("frontend-1", store, folder)

    async def ask(body: bytes) -> int | None:
        attempt_id = new_id()
        fields = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "1500",
            "Authorization": f"Bearer {KEY}",
        }
        record.write(f"caller sends {attempt_id} with {len(body)} bytes")
        answer = await send_request(
            router.host, router.port, "POST /holds/1 HTTP/1.1", fields, body, timeout=2
        )
        status = None if answer is None else answer.status
        record.write(f"caller gets {status} for {attempt_id}")
        return status

    try:
        capacity = await measure_capacity(choose_host())
        record.write(f"a connection takes {capacity} bytes that nobody reads")
        if capacity > LIMITS["maxBodyBytes"]:
            return NOT_RUN
        router.start()
        await router.wait_ready()
        # The head of a long request is as long as that of this one.
        await ask(bytes(PROBE_BYTES))
        head_bytes = max(replica.head_bytes for replica in replicas)
        await asyncio.sleep(2 * READ_ON_SECONDS)
        for _ in range(ROUNDS):
            await ask(bytes(capacity - head_bytes))
            await asyncio.gather(*(ask(b"lane 4") for _ in range(4)))
            await asyncio.sleep(2 * READ_ON_SECONDS)
            await asyncio.gather(*(ask(b"lane 4") for _ in range(SHORT_REQUESTS)))
            if any(count > 1 for count in runs.values()):
                break
        twice = [attempt_id for attempt_id, count in runs.items() if count > 1]
        for attempt_id in twice:
            record.write(f"BROKEN: {attempt_id} ran {runs[attempt_id]} times")
        return BROKEN if twice else HELD if runs else NOT_RUN
    finally:
        for task in tasks:
            task.cancel()
        router.end()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
