"""The loopback address of one process of the soak."""

from __future__ import annotations

import os
from ipaddress import IPv4Address

OWN_HOSTS = IPv4Address("127.128.0.0")
"""First of 2**22 addresses, one for each process id that Linux can give."""


ROUTER_HOSTS = IPv4Address("127.192.0.0")
"""First address of the routers, which listen on the same port for handoffs."""

MAX_ROUTERS = 16
PROCESS_IDS = 1 << 18


def find_router_host(number: int) -> str:
    """Returns a loopback address for one router that this process starts.

    Args:
        number: Number of the router, below ``MAX_ROUTERS``.
    """
    offset = os.getpid() % PROCESS_IDS * MAX_ROUTERS + number
    return str(ROUTER_HOSTS + offset)


def find_own_host(process_id: int | None = None) -> str:
    """Returns a loopback address that no other running process listens on.

    On a shared address, another process may listen on a reserved port by its number,
    or get the port of a server that has ended and the calls that were meant for it.

    Args:
        process_id: Id of the process; None for this one.
    """
    return str(OWN_HOSTS + (os.getpid() if process_id is None else process_id))
