"""Fault injection for tests: refuses connections by prefix of the address.

A process runs one router, so the blocked prefixes are one object per process that
every kind of outgoing and incoming connection consults.
"""

from __future__ import annotations

import contextlib
import socket
import weakref
from collections.abc import Iterable
from typing import Any


class Reachability:
    """Addresses that this router must not reach, and its open connections."""

    def __init__(self) -> None:
        self.prefixes: tuple[str, ...] = ()
        self._is_enabled = False
        self._open: weakref.WeakKeyDictionary[Any, str] = weakref.WeakKeyDictionary()

    def enable(self) -> None:
        """Starts to keep track of connections, so that they can be closed."""
        self._is_enabled = True

    def is_blocked(self, host: str) -> bool:
        """Returns whether the address must not be reached."""
        return bool(self.prefixes) and host.startswith(self.prefixes)

    def check(self, host: str) -> None:
        """Refuses a blocked address.

        Raises:
            ConnectionRefusedError: If the address is blocked.
        """
        if self.is_blocked(host):
            raise ConnectionRefusedError(
                f"{host} is blocked by fault injection; POST an empty list of "
                "prefixes to /debug/partition to reach it again"
            )

    def track(self, sock: Any, host: str) -> None:
        """Remembers an open curio socket until it is collected."""
        if self._is_enabled:
            self._open[sock] = host

    def block(self, prefixes: Iterable[str]) -> None:
        """Blocks exactly these prefixes and closes connections to them."""
        self.prefixes = tuple(prefixes)
        for sock, host in list(self._open.items()):
            if self.is_blocked(host):
                # A shutdown wakes the tasks that wait for the socket, and they
                # close it; closing it here would leave them waiting.
                with contextlib.suppress(OSError):
                    sock._socket.shutdown(socket.SHUT_RDWR)


REACHABILITY = Reachability()
