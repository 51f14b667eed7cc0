"""A replica of a plain service that rejects requests for a time, as a full one does.

``python3 troubled_three.py HOST NAME SHARE FROM UNTIL``: SHARE is the share of the
requests that it rejects between the two monotonic times.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

from rig_three import read_body, read_head

WORK_SECONDS = 0.0225
HOST, NAME = sys.argv[1:3]
SHARE, BEGINS_AT, ENDS_AT = map(float, sys.argv[3:6])


async def answer(writer: asyncio.StreamWriter, target: str, attempt: str) -> None:
    """Answers one request, and prints a line about it."""
    own = b"X-Attempt-Id: %b\r\nX-Server-Load: 1,0,24\r\n" % attempt.encode()
    signature = b"X-Server-Signature: s.%b\r\n" % attempt.encode()
    is_troubled = BEGINS_AT <= time.monotonic() < ENDS_AT and random.random() < SHARE
    print(json.dumps({"run": attempt, "troubled": is_troubled}), flush=True)
    if is_troubled:
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n%b"
            b"Content-Length: 0\r\n\r\n" % own
        )
        return
    await asyncio.sleep(WORK_SECONDS)
    body = f"{target} {attempt}".encode()
    writer.write(
        b"HTTP/1.1 200 OK\r\n%b%bContent-Length: %d\r\n\r\n%b"
        % (own, signature, len(body), body)
    )


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves the requests of one channel."""
    try:
        while head := await read_head(reader):
            target, fields = head[0].split(" ")[1], head[1]
            await read_body(reader, fields)
            attempt = fields.get("x-attempt-id", "")
            if fields.get("x-expected-instance", NAME) != NAME:
                writer.write(
                    b"HTTP/1.1 421 X\r\nX-Attempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
                    % attempt.encode()
                )
                continue
            await answer(writer, target, attempt)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Prints the address, and serves until the process is ended."""
    server = await asyncio.start_server(serve, HOST, 0, backlog=1024)
    host, port = server.sockets[0].getsockname()[:2]
    print(json.dumps({"name": NAME, "address": f"{host}:{port}"}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
