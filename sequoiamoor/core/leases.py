"""Leases with fencing numbers in the table, and orders sent under them."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..errors import LeaseHeldError, LeaseLostError
from ..types import ReplicaId
from .writes import ConditionalWrite, WriteResult, Written


class OrderKind(enum.StrEnum):
    """What an engine can be told."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    SET_ROLE = "set-role"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine.

    Attributes:
        replica_id: The engine.
        kind: What it is told.
        wanted: The absolute state that it shall reach, so that repeating an order
            changes nothing.
        fencing_number: Number of the lease under which the order is sent.
    """

    replica_id: ReplicaId
    kind: OrderKind
    wanted: Any
    fencing_number: int

    def to_document(self) -> dict[str, Any]:
        """Returns the body that the engine takes."""
        return {
            "order": self.kind.value,
            "wanted": self.wanted,
            "fencing_number": self.fencing_number,
        }


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Durations of a lease in seconds, the same for all holders of a name.

    Attributes:
        duration: How long a lease is valid for its holder.
        longest_order: How long an order may be under way.
    """

    duration: float
    longest_order: float

    @property
    def waiting_time(self) -> float:
        """How long the next holder waits after it saw the lease unchanged."""
        return self.duration + self.longest_order


class Lease:
    """One holder's view of one lease.

    Clocks of VMs are not compared: a holder counts validity on its own monotonic
    clock from before it sent the write, and a rival takes over only after it has
    seen the same version for the whole waiting time on its own clock. The fencing
    number is the version of the key, which rises with every write.
    """

    def __init__(self, name: str, holder: str, terms: LeaseTerms) -> None:
        """Prepares a lease.

        Args:
            name: Name of the lease; its key is ``leases/NAME``.
            holder: Identifier that no other holder or process uses.
            terms: Durations.
        """
        self.key = f"leases/{name}"
        self._holder = holder
        self._terms = terms
        self._writes = 0
        self._sent_at = float("-inf")
        self._version: int | None = None
        self._valid_from = float("-inf")
        self._seen: tuple[int, float] | None = None

    @property
    def fencing_number(self) -> int:
        """Number that orders carry.

        Raises:
            LeaseLostError: If the lease is not held.
        """
        if self._version is None:
            raise LeaseLostError(f"{self.key!r} is not held; acquire it first")
        return self._version

    def is_valid(self, now: float) -> bool:
        """Returns whether the lease is held now."""
        return self._version is not None and (
            now - self._valid_from < self._terms.duration
        )

    def may_send(self, now: float, *, checks_fencing: bool) -> bool:
        """Returns whether an order may be sent now.

        Args:
            now: Monotonic time in seconds, right before the first byte.
            checks_fencing: Whether the upstream refuses stale fencing numbers.
                Towards others only the first half of the lease is used, so that
                an order that is delayed still arrives while the lease is valid.
        """
        limit = self._terms.duration / (1 if checks_fencing else 2)
        return self.is_valid(now) and now - self._valid_from < limit

    def find_send_time(self, now: float) -> float:
        """Returns the seconds left to send an order to an upstream without a check.

        It is 0 or less when ``may_send`` forbids the order.
        """
        return self._valid_from + self._terms.duration / 2 - now

    def find_wait(self, version: int, value: Any, now: float) -> float:
        """Returns the seconds to wait before the lease may be taken over.

        Args:
            version: Version of the key that was just read.
            value: Its value.
            now: Monotonic time in seconds after the read.
        """
        if version == 0 or is_released(value):
            return 0.0
        if self._seen is None or self._seen[0] != version:
            self._seen = (version, now)
        return max(0.0, self._seen[1] + self._terms.waiting_time - now)

    def acquire(self, version: int, value: Any, now: float) -> ConditionalWrite:
        """Returns the write that takes the lease.

        Args:
            version: Version of the key as read; 0 if it is absent.
            value: Its value.
            now: Monotonic time in seconds, before the write is sent.

        Raises:
            LeaseHeldError: If another holder may still use the lease.
        """
        wait = self.find_wait(version, value, now)
        if wait > 0:
            raise LeaseHeldError(
                f"{self.key!r} is held by {value.get('holder')!r}; try again in "
                f"{wait:.0f} s, or end its holder and wait as long",
            )
        return self._build_write(version, now, is_held=True)

    def renew(self, now: float) -> ConditionalWrite:
        """Returns the write that starts the duration anew; the number rises.

        Raises:
            LeaseLostError: If the lease is not held.
        """
        if not self.is_valid(now):
            raise LeaseLostError(f"{self.key!r} is not held any more; acquire it")
        return self._build_write(self.fencing_number, now, is_held=True)

    def release(self, now: float) -> ConditionalWrite | None:
        """Returns the write that frees the lease at once, if it is still held.

        Call it only when no order is under way.
        """
        if self._version is None:
            return None
        write = self._build_write(self._version, now, is_held=False)
        self._version = None
        return write

    def _build_write(
        self, version: int, now: float, *, is_held: bool
    ) -> ConditionalWrite:
        self._writes += 1
        self._sent_at = now
        value = {
            "holder": self._holder,
            "held": is_held,
            "write_id": f"{self._holder}.{self._writes}",
        }
        return ConditionalWrite(self.key, value, expected_version=version)

    def take_result(self, result: WriteResult) -> None:
        """Takes the result of an acquiring or renewing write.

        Raises:
            LeaseLostError: If another holder was faster.
        """
        if isinstance(result, Written):
            self._version = result.version
            self._valid_from = self._sent_at
            return
        self._version = None
        raise LeaseLostError(
            f"{self.key!r} was taken by another holder: {result.value!r:.200}; nothing "
            "was sent, try again later"
        )


def is_released(value: Any) -> bool:
    """Returns whether a lease's value says that nobody holds it."""
    return isinstance(value, Mapping) and value.get("held") is False
