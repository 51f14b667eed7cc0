"""Builders and doubles shared by tests of the decisions."""

from __future__ import annotations

from typing import Any

from sequoiamoor.core.writes import ConditionalWrite, Put
from sequoiamoor.types import CallRequest


def build_call(number: int = 0, **fields: Any) -> CallRequest:
    values: dict[str, Any] = {
        "call_id": f"c{number}",
        "request_id": "r1",
        "organisation": "a",
        "class_name": "booking",
        "service": "desk",
        "arrival": 0.0,
        "deadline": 5.0,
        "wait_limit_at": 30.0,
        "body": b"{}",
        "has_caller_id": True,
        "is_repeatable": False,
    }
    return CallRequest(**{**values, **fields})


class Table:
    """Transactional table whose answers may be lost or late."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, Any]] = {}
        self.late: list[Put] = []

    def put(self, operation: Put) -> bool:
        version, _ = self.entries.get(operation.key, (0, None))
        if version != operation.expected_version:
            return False
        self.entries[operation.key] = (version + 1, operation.value)
        return True

    def step(self, write: ConditionalWrite, fault: str) -> None:
        """Carries out the next operation of a write.

        Args:
            write: The write.
            fault: ``none``, ``outage`` (not carried out), ``lost answer`` (carried
                out) or ``late`` (carried out at a later time, if at all).
        """
        operation = write.next_operation()
        is_put = isinstance(operation, Put)
        if fault == "late" and is_put:
            self.late.append(operation)
        if fault in ("late", "outage"):
            write.handle_no_answer()
            return
        is_written = is_put and self.put(operation)
        version, value = self.entries.get(write.key, (0, None))
        if fault == "lost answer":
            write.handle_no_answer()
        elif is_written:
            write.handle_written(version)
        else:
            write.handle_stored_value(version, value)


FAULTS = ("none",) * 5 + ("outage", "lost answer", "late")


def settle(table: Table, write: ConditionalWrite) -> Any:
    while write.result is None:
        table.step(write, "none")
    return write.result
