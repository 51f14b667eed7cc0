"""Check that the listener of callers accepts connections, by connecting to it."""

from __future__ import annotations

import ipaddress
import logging
import socket
import time

import curio

from ..net.acceptor import Acceptor
from ..timeouts import timeout_after

_LOG = logging.getLogger(__name__)

INTERVAL_SECONDS = 0.5
"""Time between two probes."""

TIMEOUT_SECONDS = 1.0
"""Time after which a probe that was not accepted failed. Callers of the operators'
platform wait as long for a new connection."""

MAX_AGE_SECONDS = 3.0
"""Age from which the last probe shows nothing, because no other one could run."""


class AcceptProbe:
    """Connects to a listener periodically; the acceptor ends the connection at once.

    The connection goes through the kernel's queue and the accept loop like that of a
    caller, and is not served as one.
    """

    def __init__(self) -> None:
        self._accepted_at = float("-inf")
        self._has_succeeded = True

    @property
    def is_accepting(self) -> bool:
        """Whether the last probe was accepted, not long ago."""
        age = time.monotonic() - self._accepted_at
        return self._has_succeeded and age < MAX_AGE_SECONDS

    async def run(self, acceptor: Acceptor) -> None:
        """Probes the listener until cancelled."""
        while True:
            reason = await probe(acceptor)
            if reason is None:
                self._accepted_at = time.monotonic()
                if not self._has_succeeded:
                    _LOG.info("listener accepts connections again")
            elif self._has_succeeded:
                _LOG.warning(
                    "listener does not accept connections; router not ready",
                    extra={"reason": acceptor.name, "detail": reason},
                )
            self._has_succeeded = reason is None
            await curio.sleep(INTERVAL_SECONDS)


async def probe(acceptor: Acceptor) -> str | None:
    """Connects once; returns None if the connection was accepted, else the reason."""
    host, port = acceptor.address
    if ipaddress.ip_address(host).is_unspecified:
        host = "::1" if ":" in host else "127.0.0.1"
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        sock = curio.socket.socket(family, socket.SOCK_STREAM)
    except OSError as err:
        return str(err)
    expected = acceptor.expect_probe(host)
    try:
        sock.bind((host, 0))
        async with timeout_after(TIMEOUT_SECONDS):
            await sock.connect((host, port))
            await expected.set_address(sock.getsockname())
            await sock.recv(1)
    except curio.TaskTimeout:
        return f"not accepted within {TIMEOUT_SECONDS} s"
    except OSError as err:
        return str(err)
    finally:
        acceptor.forget_probe()
        await expected.set_address(None)
        await sock.close()
    return None
