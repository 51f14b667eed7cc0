"""The status page of a router as text."""

from __future__ import annotations

import json
from typing import Any

from ..errors import RouterUnavailableError
from ..net.http_client import exchange
from ..types import Address

READ_TIMEOUT_SECONDS = 5.0


async def read_status(router: Address) -> Any:
    """Reads the status page of a router.

    Raises:
        RouterUnavailableError: If the router does not answer with a status page.
    """
    try:
        response, data = await exchange(
            router, "GET", "/status", timeout=READ_TIMEOUT_SECONDS
        )
        if response.status == 200:
            return json.loads(data)
        reason = f"status {response.status}"
    except (OSError, ValueError) as err:
        reason = str(err)
    raise RouterUnavailableError(
        f"router {router} does not answer: {reason}; check the address, it must be "
        "the HTTP port of a running router"
    )


def format_status(status: dict[str, Any]) -> str:
    """Returns the status as text: single values first, then one table per list."""
    lines = [
        f"{name}: {_format_value(value)}"
        for name, value in status.items()
        if not isinstance(value, list)
    ]
    for name, rows in status.items():
        if isinstance(rows, list):
            lines += ["", f"{name}: {len(rows)}", *format_rows(rows)]
    return "\n".join(lines)


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, dict):
        return ", ".join(
            f"{name} {_format_value(item)}" for name, item in value.items()
        )
    return "-" if value is None else str(value)


def format_rows(rows: list[dict[str, Any]]) -> list[str]:
    """Returns rows as the lines of a table, none without rows."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    table = [names] + [[_format_value(row.get(name)) for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return (
        ["  " + "  ".join(map(str.ljust, line, widths)).rstrip() for line in table]
        if rows
        else []
    )
