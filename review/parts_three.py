"""Replicas of a plain service, in a process of their own, and a requester.

``python3 parts_three.py WORK_SECONDS HOST...`` serves a replica at each address.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

from rig_three import read_body, read_head


async def serve_replica(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identifier: str,
    work_seconds: float,
) -> None:
    """Runs the requests of one channel, and prints a line for each run."""
    try:
        while head := await read_head(reader):
            target, fields = head[0].split(" ")[1], head[1]
            await read_body(reader, fields)
            attempt = fields.get("x-attempt-id", "")
            own = b"X-Attempt-Id: %b\r\n" % attempt.encode()
            if fields.get("x-expected-instance", identifier) != identifier:
                writer.write(b"HTTP/1.1 421 X\r\n%bContent-Length: 0\r\n\r\n" % own)
                continue
            run = {"run": attempt, "at": time.monotonic(), "replica": identifier}
            print(json.dumps(run), flush=True)
            await asyncio.sleep(random.uniform(0.5, 1.5) * work_seconds)
            body = f"{target} {attempt}".encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\n%bX-Server-Signature: s.%b\r\n"
                b"X-Server-Load: 1,0,200\r\nContent-Length: %d\r\n\r\n%b"
                % (own, attempt.encode(), len(body), body)
            )
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def run_replicas(hosts: list[str], work_seconds: float) -> None:
    """Serves replicas; prints their addresses first."""
    names = []
    for number, host in enumerate(hosts):
        identifier = f"i-desk-{number}"

        async def serve(reader, writer, identifier=identifier) -> None:
            await serve_replica(reader, writer, identifier, work_seconds)

        server = await asyncio.start_server(serve, host, 0, backlog=1024)
        address, port = server.sockets[0].getsockname()[:2]
        names.append((identifier, f"{address}:{port}"))
    print(json.dumps({"replicas": names}), flush=True)
    await asyncio.Event().wait()


async def send_hold(
    host: str, port: int, attempt: str, limit: float, key: str, *, size: int = 600
) -> dict[str, object]:
    """Sends one request on a new channel and waits for its answer.

    Args:
        host: Address of the router.
        port: Its port.
        attempt: Identifier of the attempt.
        limit: Seconds for which the requester waits.
        key: Its key.
        size: Size of the body in bytes.
    """
    entry: dict[str, object] = {"id": attempt, "sent": None, "status": None}
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(
                f"POST /hold/{attempt} HTTP/1.1\r\nHost: desk.example\r\n"
                f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {limit * 1000:.0f}\r\n"
                f"Authorization: Bearer {key}\r\n"
                f"Content-Length: {size}\r\n\r\n".encode()
                + b"x" * size
            )
            entry["sent"] = time.monotonic()
            head = await read_head(reader)
            if head is None:
                entry["status"] = "closed"
            else:
                await read_body(reader, head[1])
                entry["status"] = int(head[0].split(" ")[1])
    except TimeoutError:
        entry["status"] = "no answer"
    except (OSError, asyncio.IncompleteReadError):
        entry["status"] = "reset"
    finally:
        entry["ended"] = time.monotonic()
        if writer is not None:
            writer.close()
    return entry


if __name__ == "__main__":
    asyncio.run(run_replicas(sys.argv[2:], float(sys.argv[1])))
