"""The ``order`` command with a short lease, in a process that stops itself.

``python -m tests.commands.stopping_order STOP_AT order ...``; ``STOP_AT`` is ``never``,
``leased`` (the lease is acquired), ``connected`` (the engine is connected too),
``guarded`` (the time for sending is bounded) or ``checked`` (the lease was found valid;
the first byte is sent next).
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from typing import Any

from sequoiamoor.cli import main
from sequoiamoor.commands import orders
from sequoiamoor.core.leases import Lease, LeaseTerms, Order
from sequoiamoor.types import Address

TERMS = LeaseTerms(duration_seconds=1.0, max_order_seconds=0.5)
STOP_AT = sys.argv.pop(1) if __name__ == "__main__" else "never"


def stop_if_at(point: str) -> None:
    """Stops this process until it gets SIGCONT."""
    if point == STOP_AT:
        os.kill(os.getpid(), signal.SIGSTOP)


class StoppingSender(orders.OrderSender):
    """An order sender that stops at the chosen point."""

    def __init__(self, platform: Address, *, guard: orders.Guard) -> None:
        super().__init__(platform, terms=TERMS, guard=guard)

    async def _acquire(self, lease: Lease, *args: Any) -> None:
        await super()._acquire(lease, *args)
        stop_if_at("leased")

    async def _deliver(
        self,
        address: Address,
        order: Order,
        check_lease: Callable[[], None],
        start_guard: Callable[[], Any],
    ) -> None:
        def stop_and_guard() -> Any:
            stop_if_at("connected")
            return start_guard()

        def check_lease_between_stops() -> None:
            stop_if_at("guarded")
            check_lease()
            stop_if_at("checked")

        await super()._deliver(
            address, order, check_lease_between_stops, stop_and_guard
        )


if __name__ == "__main__":
    orders.OrderSender = StoppingSender  # type: ignore[misc]
    main()
