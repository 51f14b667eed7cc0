"""A model replica that rejects requests for a time, as a full one does.

``python3 troubled_three.py HOST NAME SHARE TIMES``: SHARE is the share of the requests
that it rejects in the spans of TIMES, pairs of monotonic times joined by commas.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

from rig_three import read_body, read_head

HOST, NAME = sys.argv[1:3]
SHARE = float(sys.argv[3])
TIMES = [float(text) for text in sys.argv[4].split(",")]


async def answer(writer: asyncio.StreamWriter, attempt: str) -> None:
    """Rejects one request, or answers it by a short stream."""
    own = b"X-Attempt-Id: %b\r\nX-Server-Load: 1,0,64\r\n" % attempt.encode()
    now = time.monotonic()
    spans = zip(TIMES[::2], TIMES[1::2], strict=True)
    is_in_trouble = any(begin <= now < end for begin, end in spans)
    is_rejected = is_in_trouble and random.random() < SHARE
    print(json.dumps({"attempt": attempt, "rejected": is_rejected}), flush=True)
    if is_rejected:
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n%b"
            b"Content-Length: 0\r\n\r\n" % own
        )
        return
    await asyncio.sleep(0.03)
    writer.write(
        b"HTTP/1.1 200 OK\r\n%bX-Server-Signature: s.%b\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        % (own, attempt.encode())
    )
    for number in range(3):
        event = b"id: %d\ndata: %b\n\n" % (number, attempt.encode())
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.005)
    writer.write(b"0\r\n\r\n")


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves the requests of one channel."""
    try:
        while head := await read_head(reader):
            fields = head[1]
            await read_body(reader, fields)
            attempt = fields.get("x-attempt-id", "")
            if fields.get("x-expected-instance", NAME) != NAME:
                writer.write(
                    b"HTTP/1.1 421 X\r\nX-Attempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
                    % attempt.encode()
                )
                continue
            await answer(writer, attempt)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Prints the address, and serves until the process is ended."""
    server = await asyncio.start_server(serve, HOST, 0, backlog=1024)
    host, port = server.sockets[0].getsockname()[:2]
    print(json.dumps({"replicas": [[NAME, f"{host}:{port}"]]}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
