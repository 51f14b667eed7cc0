"""Turns in which the connections of a process parse what takes long."""

from __future__ import annotations

import threading

import curio

MAX_LINES_PER_TURN = 512
"""Lines that are parsed in one turn."""


class _Turn(threading.local):
    """The turn of the event loop that runs on this thread."""

    def __init__(self) -> None:
        self.lock = curio.Lock()


_turn = _Turn()


async def wait_turn() -> None:
    """Waits until a bounded amount of work may be done.

    A peer chooses the size of its chunks and events, so a few bytes may take long to
    parse. All connections of an event loop together get one turn in each of its
    passes, in the order in which they came; other tasks run between two turns.
    """
    async with _turn.lock:
        await curio.sleep(0)


def split_lines(data: bytes) -> list[bytes]:
    """Returns the parts of the data, each of which has lines for one turn at most."""
    if data.count(b"\n") <= MAX_LINES_PER_TURN:
        return [data]
    middle = len(data) // 2
    return [*split_lines(data[:middle]), *split_lines(data[middle:])]
