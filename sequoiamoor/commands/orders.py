"""Orders to one engine, sent under a lease."""

from __future__ import annotations

import contextlib
import json
import secrets
import time
from collections.abc import Callable
from random import Random
from typing import Any

import curio
import h11

from ..core.changes import CONFIGURATION_KEY
from ..core.leases import Lease, LeaseTerms, Order, OrderKind
from ..declaration import parse_declaration
from ..errors import (
    LeaseHeldError,
    LeaseLostError,
    OrderRefusedError,
    OrderUnknownError,
    PlatformUnavailableError,
    ReplicaUnknownError,
)
from ..net.http_client import ClientConnection
from ..net.platform import PlatformClient, Vm
from ..net.table import complete_write, read_with_retries
from ..timeouts import timeout_after, wait_for
from ..types import Address, ServiceKind, VmRole

OPERATION_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 6.0
CONNECT_TIMEOUT_SECONDS = 2.0
LEASE_POLL_INTERVAL_SECONDS = 0.5
# A timer of 0 seconds would be disarmed instead of expiring at once.
_MIN_GUARD_SECONDS = 0.001
LEASE_TERMS = LeaseTerms(duration_seconds=10.0, max_order_seconds=30.0)


Guard = Callable[[float], contextlib.AbstractContextManager[None]]


def _skip_guard(_: float) -> contextlib.AbstractContextManager[None]:
    return contextlib.nullcontext()


class OrderSender:
    """Sends the orders of one operator's command."""

    def __init__(
        self,
        platform: Address,
        *,
        terms: LeaseTerms = LEASE_TERMS,
        guard: Guard = _skip_guard,
    ) -> None:
        """Initialises the sender.

        Args:
            platform: Address of the platform.
            terms: Durations of the lease and of an order.
            guard: Returns a context manager that bounds the time, in seconds, in
                which an order is sent to an engine that does not check fencing
                numbers.
        """
        self._guard = guard
        self._platform = PlatformClient(platform, timeout=OPERATION_TIMEOUT_SECONDS)
        self._terms = terms
        self._rng = Random()

    async def send(
        self,
        replica_id: str,
        kind: OrderKind,
        wanted: Any,
        *,
        wait_limit: float,
        report_wait: Callable[[float], None] = lambda _: None,
    ) -> Order:
        """Sends one order.

        Args:
            replica_id: Identifier of the engine.
            kind: Kind of the order.
            wanted: Absolute state that the engine is to reach.
            wait_limit: Seconds to wait for an earlier holder of the lease.
            report_wait: Called at most once, with the number of seconds that the
                wait for the lease may take.

        Returns:
            The order that the engine accepted.

        Raises:
            SequoiamoorError: If the order was not sent, was refused, or its effect
                is unknown.
        """
        vm, checks_fencing = await self._find_engine(replica_id)
        lease = Lease(
            f"orders-{replica_id}", f"order-{secrets.token_hex(8)}", self._terms
        )
        await self._acquire(lease, time.monotonic() + wait_limit, report_wait)
        order = Order(replica_id, kind, wanted, lease.fencing_number)

        def check_lease() -> None:
            if not lease.may_send(time.monotonic(), checks_fencing=checks_fencing):
                raise LeaseLostError(
                    f"the lease {lease.key!r} is too old to send the order; nothing "
                    "was sent, try again"
                )

        def start_guard() -> contextlib.AbstractContextManager[None]:
            if checks_fencing:
                return contextlib.nullcontext()
            remaining_seconds = lease.find_send_time(time.monotonic())
            return self._guard(max(remaining_seconds, _MIN_GUARD_SECONDS))

        # If the effect is unknown, the lease is not released, so that the next holder
        # waits until the order can no longer arrive.
        await self._deliver(vm.to_address(), order, check_lease, start_guard)
        write = lease.release(time.monotonic())
        if write is not None:
            await wait_for(
                self._terms.duration_seconds,
                lambda: complete_write(self._platform, write, rng=self._rng),
            )
        return order

    async def _find_engine(self, replica_id: str) -> tuple[Vm, bool]:
        vm_list = await read_with_retries(
            self._platform.list_vms, timeout=READ_TIMEOUT_SECONDS, rng=self._rng
        )
        engines = {vm.id: vm for vm in vm_list.vms if vm.role is VmRole.UPSTREAM}
        vm = engines.get(replica_id)
        if vm is None or vm.service is None:
            raise ReplicaUnknownError(
                f"{replica_id!r} is not an upstream in the platform's list; use one "
                f"of {', '.join(sorted(engines)) or '(none)'}"
            )
        entry = await read_with_retries(
            lambda: self._platform.read(CONFIGURATION_KEY),
            timeout=READ_TIMEOUT_SECONDS,
            rng=self._rng,
        )
        document = entry.value.get("document") if entry.value else None
        declaration = parse_declaration(document, source="configuration")
        service = declaration.services.get(vm.service)
        if service is None or service.kind is not ServiceKind.ENGINE:
            raise ReplicaUnknownError(
                f"{replica_id!r} belongs to {vm.service!r}, which is not a declared "
                "service of kind 'engine'; only engines take orders"
            )
        return vm, service.checks_fencing

    async def _acquire(
        self, lease: Lease, give_up_at: float, report_wait: Callable[[float], None]
    ) -> None:
        is_wait_reported = False
        while True:
            try:
                entry = await self._platform.read(lease.key)
                now = time.monotonic()
                wait = lease.find_wait(entry.version, entry.value, now)
                if wait == 0:
                    write = lease.acquire(entry.version, entry.value, now)
                    async with timeout_after(self._terms.duration_seconds):
                        result = await complete_write(
                            self._platform, write, rng=self._rng
                        )
                    lease.apply_result(result)
                    return
                if now + wait > give_up_at:
                    raise LeaseHeldError(
                        f"{lease.key!r} is held by another order and can be acquired "
                        f"in {wait:.0f} s; nothing was sent, try again with a longer "
                        "--wait"
                    )
                if not is_wait_reported:
                    report_wait(wait)
                    is_wait_reported = True
            except (PlatformUnavailableError, curio.TaskTimeout) as err:
                if time.monotonic() > give_up_at:
                    raise PlatformUnavailableError(
                        f"{lease.key!r} cannot be acquired, the platform does not "
                        "answer; nothing was sent, try again later"
                    ) from err
            await curio.sleep(LEASE_POLL_INTERVAL_SECONDS)

    async def _deliver(
        self,
        address: Address,
        order: Order,
        check_lease: Callable[[], None],
        start_guard: Callable[[], contextlib.AbstractContextManager[None]],
    ) -> None:
        try:
            connection = await ClientConnection.connect(
                address, timeout=CONNECT_TIMEOUT_SECONDS
            )
        except OSError as err:
            raise OrderRefusedError(
                f"{order.replica_id!r} at {address} cannot be reached: {err}; nothing "
                "was sent, try again"
            ) from err
        body = json.dumps(order.to_document()).encode()
        headers = {"content-type": "application/json"}
        try:
            async with timeout_after(self._terms.max_order_seconds):
                with start_guard():
                    # This check detects a pause before the guard started. After a
                    # later pause the guard ends the process.
                    check_lease()
                    await connection.send_request("POST", "/v1/orders", headers, body)
                response = await connection.receive_response()
                answer = await connection.receive_body()
        except (OSError, h11.RemoteProtocolError, curio.TaskTimeout) as err:
            raise OrderUnknownError(
                f"{order.replica_id!r} did not answer the order ({err!r}); send the "
                "same order again, which is safe since its state is absolute"
            ) from err
        finally:
            await connection.close()
        if response.status >= 500:
            raise OrderUnknownError(
                f"{order.replica_id!r} answered with status {response.status}; send "
                "the same order again, which is safe since its state is absolute"
            )
        if response.status >= 300:
            raise OrderRefusedError(
                f"{order.replica_id!r} refused the order with status "
                f"{response.status}: {answer!r:.200}"
            )
