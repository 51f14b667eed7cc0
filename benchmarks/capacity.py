"""Computes the tables of docs/CAPACITY.md from the measured slopes.

``python -m benchmarks.capacity`` rewrites the parts of the page between its table
markers; the text around them is maintained by hand.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import typer

from .scale import RESULT_PATH

PAGE_PATH = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
RELAY_RESULT_PATH = Path(__file__).parent / "results" / "relay.json"

ROUTERS = 350
ZONES = 9
REPLICAS = 1_500
ORGANISATIONS = 210
BACKLOGGED_ORGANISATIONS = 21
SERVICES = 4
REQUESTS_PER_SECOND = 16_000
TOKENS_PER_SECOND = 4_000_000
CONFIGURATION_CHANGES_PER_DAY = 2_100
TOKEN_INTERVAL_SECONDS = 0.026

# The design for this size; CAPACITY.md says which parts are not implemented yet.
REPORT_INTERVAL_SECONDS = 1.0
ZONE_REPORT_INTERVAL_SECONDS = 2.0
FAN_OUT = 6
ROUTERS_PER_REPLICA = 8
GRANT_ROW_BYTES = 8
MESSAGE_OVERHEAD_BYTES = 12
LOAD_POLL_INTERVAL_SECONDS = 2.0
LOAD_POLL_BYTES = 700
CONFIGURATION_BYTES = 12_000
WRITES_PER_RECORD = 2
PLATFORM_WRITES_PER_SECOND_LIMIT = 300

CPU_BUDGET_CORE_FRACTION = 0.016
MEMORY_BUDGET_BYTES = 256_000_000
BUDGET_BYTES_PER_SECOND = 9_000


@dataclass(frozen=True, slots=True)
class Role:
    """Cost of one role to one router.

    Attributes:
        name: The role.
        bytes_rate: Bytes per second, in plus out.
        message_rate: Messages per second, in plus out.
        cpu: Fraction of a core.
        memory: Bytes of state.
        mechanism: How the design does the work.
    """

    name: str
    bytes_rate: float
    message_rate: float
    cpu: float
    memory: float
    mechanism: str


class Slopes:
    """Measured lines by name.

    Attributes:
        fleets: Figures of the idle fleets that were measured.
    """

    def __init__(self, document: dict[str, Any]) -> None:
        self._lines = document["lines"]
        self.fleets = document["fleets"]

    def slope(self, name: str) -> float:
        """Returns ordinate units per abscissa unit."""
        return float(self._lines[name]["slope"])

    def intercept(self, name: str) -> float:
        """Returns the ordinate at zero."""
        return float(self._lines[name]["intercept"])

    @property
    def message_cpu_seconds(self) -> float:
        """CPU seconds of one message, in or out, with sockets and event loop."""
        return (
            self.slope("fleet cpu_percent")
            / 100
            / self.slope("fleet messages_per_second")
        )

    @property
    def row_cpu_seconds(self) -> float:
        """CPU seconds of one counter row that is decoded, merged and encoded."""
        names = ("report encode", "report decode", "ledger merge")
        return sum(self.slope(name) for name in names) / 1e6

    def report_bytes(self, rows: int) -> float:
        """Returns the size of a report in bytes."""
        return (
            MESSAGE_OVERHEAD_BYTES
            + self.intercept("report bytes")
            + (rows * self.slope("report bytes"))
        )

    def compute_exchange_cost(
        self, name: str, mechanism: str, *, messages: float, rows: int, memory: float
    ) -> Role:
        """Returns the cost of exchanging reports.

        Args:
            name: Name of the role.
            mechanism: How the design does the work.
            messages: Messages per second, in plus out.
            rows: Rows of each message.
            memory: Bytes of state.
        """
        cpu = messages * (self.message_cpu_seconds + rows * self.row_cpu_seconds)
        size = messages * self.report_bytes(rows)
        return Role(name, size, messages, cpu, memory, mechanism)


def build_roles(slopes: Slopes) -> list[Role]:
    """Returns the roles of one router at the target size."""
    routers_per_zone = math.ceil(ROUTERS / ZONES)
    replicas = REPLICAS / ROUTERS
    replica_router_pairs = replicas * ROUTERS_PER_REPLICA
    counter_bytes = slopes.slope("ledger memory")
    counters = BACKLOGGED_ORGANISATIONS * SERVICES * (FAN_OUT + ZONES)
    base_core_fraction = (
        slopes.intercept("fleet cpu_percent") / 100 * 0.2 / REPORT_INTERVAL_SECONDS
    )
    leaf = slopes.compute_exchange_cost(
        "reporting (leaf of 4 trees)",
        "one tree of reports per service and zone",
        messages=2 * SERVICES / REPORT_INTERVAL_SECONDS,
        rows=BACKLOGGED_ORGANISATIONS,
        memory=counter_bytes * ORGANISATIONS * SERVICES,
    )
    inner = slopes.compute_exchange_cost(
        "passing reports on (inner router of 1 tree)",
        f"sums of {FAN_OUT} children; rendezvous hash spreads the trees",
        messages=2 * (FAN_OUT + 1) / REPORT_INTERVAL_SECONDS,
        rows=BACKLOGGED_ORGANISATIONS,
        memory=counter_bytes * counters,
    )
    root = slopes.compute_exchange_cost(
        f"exchanging zone sums (root, {SERVICES} of {routers_per_zone} routers)",
        "roots of the zones exchange sums; a root is inner router of no other tree",
        messages=2 * (ZONES - 1) / ZONE_REPORT_INTERVAL_SECONDS,
        rows=BACKLOGGED_ORGANISATIONS,
        memory=counter_bytes * counters,
    )
    arbiter = Role(
        f"arbitrating {replicas:.1f} replicas for {ROUTERS_PER_REPLICA} routers each",
        2
        * replica_router_pairs
        * (MESSAGE_OVERHEAD_BYTES + GRANT_ROW_BYTES)
        / REPORT_INTERVAL_SECONDS,
        2 * replica_router_pairs / REPORT_INTERVAL_SECONDS,
        2 * replica_router_pairs * slopes.message_cpu_seconds / REPORT_INTERVAL_SECONDS
        + replica_router_pairs
        * slopes.slope("arbiter step")
        / 1e6
        / REPORT_INTERVAL_SECONDS,
        slopes.slope("arbiter memory") * replicas * routers_per_zone
        + slopes.slope("replica memory") * REPLICAS,
        "one arbiter per replica; demand goes to a few arbiters in turn",
    )
    polls = Role(
        "reading load reports",
        replicas * LOAD_POLL_BYTES / LOAD_POLL_INTERVAL_SECONDS,
        2 * replicas / LOAD_POLL_INTERVAL_SECONDS,
        2 * replicas * 4 * slopes.message_cpu_seconds / LOAD_POLL_INTERVAL_SECONDS,
        0,
        "the arbiter alone polls its replicas",
    )
    membership = Role(
        "membership",
        0,
        0,
        slopes.slope("membership step") * ROUTERS / 1e6 / REPORT_INTERVAL_SECONDS,
        slopes.slope("membership memory") * ROUTERS,
        "reports are the heartbeats; changes travel along the trees",
    )
    changes_per_second = CONFIGURATION_CHANGES_PER_DAY / 86_400
    configuration = Role(
        "configuration",
        3 * changes_per_second * CONFIGURATION_BYTES,
        3 * changes_per_second,
        3 * changes_per_second * CONFIGURATION_BYTES / 1e6 * 0.05,
        4 * CONFIGURATION_BYTES,
        "one polling router per zone, then from peer to peer",
    )
    process = Role(
        "process, metrics, ticks",
        0,
        0,
        base_core_fraction,
        max(row["resident_bytes"] for row in slopes.fleets),
        "one loop on one thread",
    )
    return [leaf, inner, root, arbiter, polls, membership, configuration, process]


def format_roles(roles: list[Role]) -> str:
    """Returns the table of roles with their fraction of the budget."""
    lines = [
        "| Role | B/s in + out | messages/s | % of a core | memory, MB | carried by |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for role in roles:
        lines.append(
            f"| {role.name} | {role.bytes_rate:,.0f} | {role.message_rate:.1f} | "
            f"{role.cpu * 100:.2f} | {role.memory / 1e6:.2f} | {role.mechanism} |"
        )
    leaf, inner, root, *rest = roles
    for name, carried_roles in (
        ("**inner router, all roles**", [leaf, inner, *rest]),
        ("**root of a zone, all roles**", [leaf, inner, root, *rest]),
    ):
        size = sum(carried_role.bytes_rate for carried_role in carried_roles)
        cpu = sum(carried_role.cpu for carried_role in carried_roles)
        memory = sum(carried_role.memory for carried_role in carried_roles)
        lines.append(
            f"| {name} | {size:,.0f} "
            f"({size / BUDGET_BYTES_PER_SECOND:.0%} of budget) | "
            f"{sum(carried_role.message_rate for carried_role in carried_roles):.1f} | "
            f"{cpu * 100:.2f} "
            f"({cpu / CPU_BUDGET_CORE_FRACTION:.0%}) | {memory / 1e6:.1f} "
            f"({memory / MEMORY_BUDGET_BYTES:.0%}) | |"
        )
    return "\n".join(lines)


def format_rejected(slopes: Slopes) -> str:
    """Returns the table of rejected designs, which exceed the budget."""
    routers_per_zone = math.ceil(ROUTERS / ZONES)
    designs = [
        (
            "everyone reports to everyone, 0.2 s (today's code at 350 routers)",
            2 * (ROUTERS - 1) / 0.2,
            BACKLOGGED_ORGANISATIONS * SERVICES,
        ),
        (
            "the same, 1 s",
            2 * (ROUTERS - 1) / 1.0,
            BACKLOGGED_ORGANISATIONS * SERVICES,
        ),
        (
            "one aggregator per zone for all services, 1 s: the aggregator",
            2 * (routers_per_zone - 1 + ZONES - 1) / 1.0,
            BACKLOGGED_ORGANISATIONS * SERVICES,
        ),
    ]
    lines = [
        "| Way | B/s in + out | part of budget | % of a core | part of budget |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, messages, rows in designs:
        role = slopes.compute_exchange_cost(
            name, "", messages=messages, rows=rows, memory=0
        )
        lines.append(
            f"| {name} | {role.bytes_rate:,.0f} | "
            f"{role.bytes_rate / BUDGET_BYTES_PER_SECOND:.1f} x | "
            f"{role.cpu * 100:.1f} | {role.cpu / CPU_BUDGET_CORE_FRACTION:.1f} x |"
        )
    return "\n".join(lines)


def format_slopes(document: dict[str, Any]) -> str:
    """Returns the table of the measured lines."""
    lines = [
        "| Line | slope | at zero | residual | measured from .. to |",
        "| --- | --- | --- | --- | --- |",
    ]
    for line in document["lines"].values():
        first, last = line["points"][0][0], line["points"][-1][0]
        lines.append(
            f"| {line['name']} | {line['slope']:.4g} {line['unit']}/{line['per']} | "
            f"{line['intercept']:.4g} | {line['residual']:.1%} | "
            f"{first:g} .. {last:g} |"
        )
    return "\n".join(lines)


def format_platform() -> str:
    """Returns the table of the platform's load."""
    polling = ZONES * 2 / 2.0
    others = (ROUTERS - ZONES) * 2 / 20.0
    changes = CONFIGURATION_CHANGES_PER_DAY / 86_400
    calls = PLATFORM_WRITES_PER_SECOND_LIMIT / WRITES_PER_RECORD
    return "\n".join(
        [
            "| Load on the platform | per second | limit |",
            "| --- | --- | --- |",
            f"| polls of table and VM list, one router per zone | {polling:.0f} reads "
            "| about 2,000 reads |",
            f"| the same, the other routers | {others:.0f} reads | |",
            f"| configuration changes, each 3 writes | {3 * changes:.2f} writes | "
            "several hundred writes |",
            f"| at-most-once records, {WRITES_PER_RECORD} writes a call | "
            f"{WRITES_PER_RECORD} x calls | {calls:.0f} calls/s at "
            f"{PLATFORM_WRITES_PER_SECOND_LIMIT} writes |",
        ]
    )


def format_relay(document: dict[str, Any]) -> str:
    """Returns the table of the cost of relaying."""
    chunk_us = float(document["router"]["chunk_us"])
    request_us = float(document["router"]["request_us"])
    tokens = TOKENS_PER_SECOND / ROUTERS
    requests = REQUESTS_PER_SECOND / ROUTERS
    cores = (tokens * chunk_us + requests * request_us) / 1e6
    return "\n".join(
        [
            "| Relaying | figure |",
            "| --- | --- |",
            f"| CPU per chunk, per request | {chunk_us:.1f} us, {request_us:.0f} us |",
            f"| tokens/s that a core relays | {1e6 / chunk_us:,.0f} |",
            f"| per router at the target | {tokens:,.0f} tokens/s, {requests:.0f} "
            f"requests/s: {cores:.2f} cores |",
            f"| all {ROUTERS} routers | {cores * ROUTERS:.0f} cores |",
            f"| streams per router | {tokens * TOKEN_INTERVAL_SECONDS:.0f} at "
            f"{TOKEN_INTERVAL_SECONDS * 1000:.0f} ms between tokens |",
        ]
    )


def replace_table(text: str, name: str, table: str) -> str:
    """Returns the page with one table replaced.

    Raises:
        ValueError: If the page has no such marker.
    """
    pattern = rf"(<!-- table: {name} -->\n)(?:.*?\n)??(<!-- end -->)"
    replaced, count = re.subn(
        pattern, lambda match: f"{match[1]}{table}\n{match[2]}", text, flags=re.DOTALL
    )
    if count != 1:
        raise ValueError(
            f"the page has {count} markers for table {name!r}; keep exactly one"
        )
    return replaced


def main() -> None:
    """Rewrites the tables of the page."""
    document = json.loads(RESULT_PATH.read_text(encoding="utf-8"))
    slopes = Slopes(document)
    text = PAGE_PATH.read_text(encoding="utf-8")
    tables = {
        "slopes": format_slopes(document),
        "roles": format_roles(build_roles(slopes)),
        "rejected": format_rejected(slopes),
        "platform": format_platform(),
        "relay": format_relay(
            json.loads(RELAY_RESULT_PATH.read_text(encoding="utf-8"))
        ),
    }
    for name, table in tables.items():
        text = replace_table(text, name, table)
    PAGE_PATH.write_text(text, encoding="utf-8")
    print(f"rewrote {len(tables)} tables of {PAGE_PATH.name}")


if __name__ == "__main__":
    typer.run(main)
