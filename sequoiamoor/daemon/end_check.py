"""Finds out whether a replica's process has ended after an answer broke off."""

from __future__ import annotations

import errno
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import curio

from ..core.statements import ReplicaProcess
from ..net.http_client import ClientConnection
from ..types import Address

ENDED_MEMORY_SECONDS = 30.0
"""Time for which a process is remembered as ended."""

ALIVE_MEMORY_SECONDS = 0.1
"""Time for which a process that could be connected to is not checked again."""

CLOSE_SECONDS = 0.03
"""Time in which a process that ends closes all its sockets. Its connections may break
before its port is closed; one that was made meanwhile breaks too."""

CONNECT_ATTEMPTS = 3
"""Connections that may break in this way before the check gives up."""

MAX_REMEMBERED_PROCESSES = 512


@dataclass(slots=True)
class _Check:
    """One check, which all broken attempts at a process share.

    Attributes:
        done: Set when the result is known.
        has_ended: The result.
        expires_at: Monotonic time in seconds until which the result holds.
    """

    done: Any = field(default_factory=curio.Event)
    has_ended: bool = False
    expires_at: float = float("inf")


class EndCheck:
    """Checks processes by opening a connection to their address.

    A connection that breaks may be due to its link, to a faulty answer or to the end of
    the process. Only a process that ended has its port closed: silence proves nothing.

    Args:
        timeout: Seconds after which a connection attempt fails.
    """

    def __init__(self, *, timeout: float) -> None:
        self._timeout = timeout
        self._checks: OrderedDict[ReplicaProcess, _Check] = OrderedDict()

    async def has_ended(self, process: ReplicaProcess, address: Address) -> bool:
        """Returns whether a process that broke an answer off has ended."""
        check = self._checks.get(process)
        if check is None or time.monotonic() >= check.expires_at:
            check = self._checks[process] = _Check()
            self._checks.move_to_end(process)
            while len(self._checks) > MAX_REMEMBERED_PROCESSES:
                self._checks.popitem(last=False)
            try:
                check.has_ended = await self._is_port_closed(address)
            finally:
                memory = (
                    ENDED_MEMORY_SECONDS if check.has_ended else ALIVE_MEMORY_SECONDS
                )
                check.expires_at = time.monotonic() + memory
                await check.done.set()
        else:
            await check.done.wait()
        return check.has_ended

    async def _is_port_closed(self, address: Address) -> bool:
        for _ in range(CONNECT_ATTEMPTS):
            try:
                connection = await ClientConnection.connect(
                    address, timeout=self._timeout
                )
            except OSError as err:
                # Fault injection raises errors without a number.
                return err.errno == errno.ECONNREFUSED
            await curio.sleep(CLOSE_SECONDS)
            is_open = connection.is_quiet
            await connection.close()
            if is_open:
                return False
        return False
