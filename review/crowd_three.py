"""Requesters that nobody controls: bodies in small chunks that stop before their end.

``python3 crowd_three.py HOST PORT CLIENTS FIRST`` goes on until it is ended.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import sys
import time

BODY_BYTES = 1_048_576
"""Size of a body without its framing, a quarter of `maxBodyBytes`."""

CHUNK_BYTES = 7
SEND_BYTES = 65_536
OPENED_AT_A_TIME = 20
KEYS = 4
"""Keys of the requesters, each of another tenant."""


class Client:
    """One requester, which connects again when its channel ends."""

    def __init__(self, address: tuple[str, int], head: bytes, body: memoryview) -> None:
        self._address, self._head, self._body = address, head, body
        self._sent = 0
        self.sock: socket.socket | None = None

    def open(self) -> None:
        """Connects and begins its request anew."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(self._address)
        self._sent = -len(self._head)

    def close(self) -> None:
        """Closes the channel."""
        if self.sock is not None:
            self.sock.close()

    @property
    def is_done(self) -> bool:
        """Whether all but the end of the body is sent."""
        return self._sent >= len(self._body)

    def send(self) -> None:
        """Sends as much as the channel takes; raises OSError once it has ended."""
        assert self.sock is not None
        while not self.is_done:
            if self._sent < 0:
                rest = memoryview(self._head)[self._sent :]
            else:
                rest = self._body[self._sent : self._sent + SEND_BYTES]
            try:
                self._sent += self.sock.send(rest)
            except BlockingIOError:
                return

    def has_ended(self) -> bool:
        """Drops what has arrived; returns whether the router closed its side."""
        assert self.sock is not None
        with contextlib.suppress(BlockingIOError):
            return not self.sock.recv(SEND_BYTES)
        return False


def step(client: Client, events: int) -> bool:
    """Receives and sends; returns False if the channel has ended."""
    try:
        if events & selectors.EVENT_READ and client.has_ended():
            return False
        if events & selectors.EVENT_WRITE:
            client.send()
    except OSError:
        return False
    return True


def main() -> None:
    """Sends until the process is ended."""
    host, port, count, first = sys.argv[1], *map(int, sys.argv[2:5])
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    # The last, empty chunk never follows.
    body = memoryview(chunk * (BODY_BYTES // CHUNK_BYTES))
    closed = []
    for number in range(first, first + count):
        head = (
            f"POST /hold/{number} HTTP/1.1\r\nHost: desk.example\r\n"
            f"X-Attempt-Id: crowd-{number}\r\nX-Deadline-Ms: 3000\r\n"
            f"Authorization: Bearer stranger-{number % KEYS}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        closed.append(Client((host, port), head.encode(), body))
    both = selectors.EVENT_READ | selectors.EVENT_WRITE
    with selectors.DefaultSelector() as selector:
        while True:
            for client in closed[:OPENED_AT_A_TIME]:
                client.open()
                selector.register(client.sock, both, client)
            del closed[:OPENED_AT_A_TIME]
            for key, events in selector.select(0.01):
                client = key.data
                if not step(client, events):
                    selector.unregister(key.fileobj)
                    client.close()
                    closed.append(client)
                elif client.is_done and key.events != selectors.EVENT_READ:
                    selector.modify(key.fileobj, selectors.EVENT_READ, client)
            time.sleep(0.002)


if __name__ == "__main__":
    main()
