"""Fault injection for tests: refuses connections by prefix of the peer's address.

A process runs one router, so the process has one set of blocked prefixes, which all
outgoing and incoming connections check.
"""

from __future__ import annotations

import contextlib
import socket
import weakref
from collections.abc import Iterable
from typing import Any


class Reachability:
    """The address prefixes that are blocked, and the open connections.

    Attributes:
        prefixes: Address prefixes that are blocked.
    """

    def __init__(self) -> None:
        self.prefixes: tuple[str, ...] = ()
        self._is_enabled = False
        self._open_socks: weakref.WeakKeyDictionary[Any, str] = (
            weakref.WeakKeyDictionary()
        )

    def enable(self) -> None:
        """Enables the tracking of connections, so that ``block`` can close them."""
        self._is_enabled = True

    def is_blocked(self, host: str) -> bool:
        """Returns whether the address is blocked."""
        return bool(self.prefixes) and host.startswith(self.prefixes)

    def check(self, host: str) -> None:
        """Raises an error for a blocked address.

        Raises:
            ConnectionRefusedError: If the address is blocked.
        """
        if self.is_blocked(host):
            raise ConnectionRefusedError(
                f"{host} is blocked by fault injection; POST an empty list of "
                "prefixes to /debug/partition to reach it again"
            )

    def track(self, sock: Any, host: str) -> None:
        """Tracks an open curio socket until it is garbage-collected."""
        if self._is_enabled:
            self._open_socks[sock] = host

    def block(self, prefixes: Iterable[str]) -> None:
        """Replaces the blocked prefixes and closes connections to these addresses."""
        self.prefixes = tuple(prefixes)
        for sock, host in list(self._open_socks.items()):
            # A closed socket may not be collected yet.
            if sock._socket is not None and self.is_blocked(host):
                # A shutdown wakes the tasks that wait for the socket, which then close
                # it. Closing it here would leave them waiting.
                with contextlib.suppress(OSError):
                    sock._socket.shutdown(socket.SHUT_RDWR)


REACHABILITY = Reachability()
