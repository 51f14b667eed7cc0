"""Where a request would go, as a running router explains it."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import urlencode

from ..errors import RouterUnavailableError
from ..net.http_client import exchange
from ..types import Address
from .status import READ_TIMEOUT_SECONDS, format_rows


async def read_explanation(router: Address, question: dict[str, Any]) -> Any:
    """Reads the explanation of a request from a router.

    Args:
        router: Address of its port for metrics.
        question: Parameters of the page; those that are None are left out.

    Raises:
        RouterUnavailableError: If the router does not answer with an explanation.
    """
    given = {name: value for name, value in question.items() if value is not None}
    try:
        response, data = await exchange(
            router,
            "GET",
            f"/explain?{urlencode(given)}",
            timeout=READ_TIMEOUT_SECONDS,
        )
        if response.status == 200:
            return json.loads(data)
        reason = f"status {response.status}"
        if data:
            reason += f": {json.loads(data)['error']}"
    except (OSError, ValueError, KeyError, TypeError) as err:
        reason = str(err)
    raise RouterUnavailableError(
        f"router {router} explains nothing: {reason}; check the address, it must be "
        "the port gateway.metrics of a running router"
    )


def format_explanation(document: dict[str, Any]) -> str:
    """Returns an explanation as text."""
    lines = [f"route: {document['route'] or '-'}"]
    lines.append(f"service: {document['service'] or '-'}")
    if len(document["services"]) > 1:
        lines.append(f"drawn for each request: {', '.join(document['services'])}")
    refusal = document["refusal"]
    if refusal is not None:
        after = refusal["retry_after"]
        retry = "" if after is None else f", Retry-After from {after:.1f} s"
        lines.append(f"refused: {refusal['code']}: {refusal['reason']}{retry}")
    lines.append(f"waiting before it: {document['waiting_before']}")
    if document["outcome"] == "wait":
        lines.append(f"would wait: {document['reason']}")
    elif document["outcome"] == "start":
        names = document["drawn_among"]
        verb = "would start at" if len(names) == 1 else "would be drawn among"
        lines.append(f"{verb}: {', '.join(names)}")
    rows = document["replicas"]
    return "\n".join([*lines, "", f"replicas: {len(rows)}", *format_rows(rows)])
