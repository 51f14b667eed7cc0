"""Leases with fencing numbers, kept in the table, and orders sent under them."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..errors import LeaseHeldError, LeaseLostError
from ..types import ReplicaId
from .writes import ConditionalWrite, WriteResult, Written


class OrderKind(enum.StrEnum):
    """Kind of an order to an engine."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    SET_ROLE = "set-role"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine.

    Attributes:
        replica_id: The engine.
        kind: Kind of the order.
        wanted: State that the engine must reach, given as absolute values so that a
            repeated order changes nothing.
        fencing_number: Number of the lease under which the order is sent.
    """

    replica_id: ReplicaId
    kind: OrderKind
    wanted: Any
    fencing_number: int

    def to_document(self) -> dict[str, Any]:
        """Returns the request body in the engine's format."""
        return {
            "order": self.kind.value,
            "wanted": self.wanted,
            "fencing_number": self.fencing_number,
        }


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Durations of a lease in seconds, the same for all holders of a name.

    Attributes:
        duration_seconds: Time for which a lease is valid for its holder.
        max_order_seconds: Longest time that an order may be in progress.
    """

    duration_seconds: float
    max_order_seconds: float

    @property
    def waiting_time(self) -> float:
        """Seconds for which a lease must stay unchanged before it is taken over."""
        return self.duration_seconds + self.max_order_seconds


class Lease:
    """One holder's view of one lease.

    Clocks of different VMs are never compared: a holder measures validity on its own
    monotonic clock from before it sent the write, and another holder takes over only
    after it has seen the same version for the whole waiting time on its own clock.
    The fencing number is the version of the key, which increases with every write.
    """

    def __init__(self, name: str, holder: str, terms: LeaseTerms) -> None:
        """Creates a lease that is not held yet.

        Args:
            name: Name of the lease; its key is ``leases/NAME``.
            holder: Identifier of the holder, unique among holders and processes.
            terms: Durations of the lease.
        """
        self.key = f"leases/{name}"
        self._holder = holder
        self._terms = terms
        self._write_count = 0
        self._write_sent_at = float("-inf")
        self._version: int | None = None
        self._valid_from = float("-inf")
        self._last_seen: tuple[int, float] | None = None

    @property
    def fencing_number(self) -> int:
        """Fencing number that orders carry.

        Raises:
            LeaseLostError: If the lease is not held.
        """
        if self._version is None:
            raise LeaseLostError(f"{self.key!r} is not held; acquire it first")
        return self._version

    def is_valid(self, now: float) -> bool:
        """Returns whether this holder holds the lease at ``now``."""
        return self._version is not None and (
            now - self._valid_from < self._terms.duration_seconds
        )

    def may_send(self, now: float, *, checks_fencing: bool) -> bool:
        """Returns whether an order may be sent now.

        Args:
            now: Monotonic time in seconds, right before the first byte is sent.
            checks_fencing: Whether the upstream refuses stale fencing numbers.
                For other upstreams only the first half of the lease is used, so
                that a delayed order still arrives while the lease is valid.
        """
        limit = self._terms.duration_seconds / (1 if checks_fencing else 2)
        return self.is_valid(now) and now - self._valid_from < limit

    def find_send_time(self, now: float) -> float:
        """Returns the seconds left to send an order without a fencing check.

        While the lease is held, the result is 0 or less when ``may_send`` forbids the
        order. After it was lost or released, the result says nothing.
        """
        return self._valid_from + self._terms.duration_seconds / 2 - now

    def find_wait(self, version: int, value: Any, now: float) -> float:
        """Returns the seconds to wait before the lease may be taken over.

        Args:
            version: Version of the key that was just read.
            value: Value of the key.
            now: Monotonic time in seconds after the read.
        """
        if version == 0 or is_released(value):
            return 0.0
        if self._last_seen is None or self._last_seen[0] != version:
            self._last_seen = (version, now)
        return max(0.0, self._last_seen[1] + self._terms.waiting_time - now)

    def acquire(self, version: int, value: Any, now: float) -> ConditionalWrite:
        """Returns the write that acquires the lease.

        Args:
            version: Version of the key as read; 0 if it is absent.
            value: Value of the key.
            now: Monotonic time in seconds, before the write is sent.

        Raises:
            LeaseHeldError: If another holder may still use the lease.
        """
        wait = self.find_wait(version, value, now)
        if wait > 0:
            raise LeaseHeldError(
                f"{self.key!r} is held by {value.get('holder')!r}; try again in "
                f"{wait:.0f} s, or stop the holder and wait as long",
            )
        return self._build_write(version, now, is_held=True)

    def renew(self, now: float) -> ConditionalWrite:
        """Returns the write that extends the lease under a higher fencing number.

        Raises:
            LeaseLostError: If the lease is not held.
        """
        if not self.is_valid(now):
            raise LeaseLostError(f"{self.key!r} is no longer held; acquire it again")
        return self._build_write(self.fencing_number, now, is_held=True)

    def release(self, now: float) -> ConditionalWrite | None:
        """Returns the write that releases the lease, or None if it is not held.

        Call it only when no order is in progress.
        """
        if self._version is None:
            return None
        write = self._build_write(self._version, now, is_held=False)
        self._version = None
        return write

    def _build_write(
        self, version: int, now: float, *, is_held: bool
    ) -> ConditionalWrite:
        self._write_count += 1
        self._write_sent_at = now
        value = {
            "holder": self._holder,
            "held": is_held,
            "write_id": f"{self._holder}.{self._write_count}",
        }
        return ConditionalWrite(self.key, value, expected_version=version)

    def apply_result(self, result: WriteResult) -> None:
        """Applies the result of an acquiring or renewing write.

        Raises:
            LeaseLostError: If another holder wrote the lease first.
        """
        if isinstance(result, Written):
            self._version = result.version
            self._valid_from = self._write_sent_at
            return
        self._version = None
        raise LeaseLostError(
            f"{self.key!r} was acquired by another holder: {result.value!r:.200}; "
            "nothing was sent, try again later"
        )


def is_released(value: Any) -> bool:
    """Returns whether the value of a lease says that it is not held."""
    return isinstance(value, Mapping) and value.get("held") is False
