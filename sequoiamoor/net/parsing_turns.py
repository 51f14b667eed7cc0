"""Turns in which the connections of a process parse what takes long."""

from __future__ import annotations

import curio

MAX_LINES_PER_TURN = 512
"""Lines that are parsed in one turn."""

_turn = curio.Lock()


async def wait_turn() -> None:
    """Waits until a bounded amount of work may be done.

    A peer chooses the size of its chunks and events, so a few bytes may take long to
    parse. All connections of the process together get one turn in each pass of the
    event loop, in the order in which they came; other tasks run between two turns.
    """
    async with _turn:
        await curio.sleep(0)


def split_lines(data: bytes) -> list[bytes]:
    """Returns the parts of the data, each of which has lines for one turn at most."""
    if data.count(b"\n") <= MAX_LINES_PER_TURN:
        return [data]
    middle = len(data) // 2
    return [*split_lines(data[:middle]), *split_lines(data[middle:])]
