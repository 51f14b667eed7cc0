"""Header fields of requests to upstream replicas and of their answers."""

from __future__ import annotations

import math
import re

from ..core.replica_loads import ReportedLoad
from ..core.routed_call import Fields, RoutedCall
from ..core.statements import Statement, build_statement
from ..net.http import Response
from ..types import PUBLIC_ORGANISATION
from . import names
from .callers import select_end_to_end

_INTERNAL_FIELDS = frozenset({names.LOAD.encode()})

_SECONDS = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,15})?", re.ASCII)

_FIGURE = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?", re.ASCII)

MAX_LOAD_FIGURES = 4
"""Figures of a load report with the time that work takes now."""

USUAL_PACE = 100.0


def build_fields(
    call: RoutedCall, replica_id: str, *, remaining: float, last_event: bytes | None
) -> Fields:
    """Returns the header fields of an attempt.

    Args:
        call: The request.
        replica_id: Replica that must run it; any other replica refuses it.
        remaining: Seconds after which the replica stops working on the request.
        last_event: Identifier of the last event that the caller received, if it
            differs from the one in the request.
    """
    fields = call.fields
    if last_event is not None:
        name = names.LAST_EVENT_ID.encode()
        fields = [field for field in fields if field[0] != name] + [(name, last_event)]
    else:
        fields = list(fields)
    fields.append((names.REMAINING_MS.encode(), b"%d" % max(1, int(remaining * 1000))))
    fields.append((names.EXPECTED_REPLICA.encode(), replica_id.encode()))
    if call.organisation != PUBLIC_ORGANISATION:
        fields.append((names.ORGANISATION.encode(), call.organisation.encode()))
    return fields


def read_request_id(response: Response) -> str | None:
    """Returns the identifier of the attempt that the answer belongs to."""
    return response.headers.get(names.REQUEST_ID)


def states_not_run(response: Response) -> bool:
    """Returns whether the replica states that it did not run the request."""
    # A replica answers 421 (Misdirected Request) if it is not the expected one.
    return names.NOT_RUN in response.headers or response.status == 421


def read_statement(response: Response) -> Statement | None:
    """Returns what the answer says about the requests that its replica wants.

    None if it says nothing, or comes from another replica than the expected one.
    """
    if response.status == 421:
        return None
    leaving = response.headers.get(names.LEAVING, "")
    is_leaving = any(item.strip() == "1" for item in leaving.split(","))
    hold_text = response.headers.get(names.RETRY_AFTER, "").strip()
    hold = None
    if response.status == 503 and names.RETRY_AFTER in response.headers:
        is_readable = _SECONDS.fullmatch(hold_text) is not None
        hold = float(hold_text) if is_readable else math.nan
    if not is_leaving and hold is None:
        return None
    return build_statement(is_leaving=is_leaving, hold=hold, hold_text=hold_text[:80])


def read_cold_seconds(response: Response) -> float | None:
    """Returns the seconds for which the replica remains cold.

    None if the answer does not tell, or comes from another replica than the expected
    one.
    """
    text = response.headers.get(names.COLD_REMAINING_MS, "").strip()
    if response.status == 421 or _SECONDS.fullmatch(text) is None:
        return None
    return float(text) / 1000


def read_load(
    response: Response, *, least_figures: int = MAX_LOAD_FIGURES
) -> ReportedLoad | None:
    """Returns the load that the replica reports.

    Args:
        response: An answer.
        least_figures: Figures that a report must have: 3, or 4 with the time that work
            takes now.

    Returns:
        None if the answer has no report with as many usable figures, or comes from
        another replica than the expected one.
    """
    if response.status == 421:
        return None
    items = [item.strip() for item in response.headers.get(names.LOAD, "").split(",")]
    if not least_figures <= len(items) <= MAX_LOAD_FIGURES:
        return None
    if not all(map(_FIGURE.fullmatch, items)):
        return None
    running, waiting, slots, *rest = map(float, items)
    pace = rest[0] if rest else USUAL_PACE
    if not slots or not pace:
        return None
    return ReportedLoad(running, waiting, slots, pace / USUAL_PACE)


def is_signed(response: Response) -> bool:
    """Returns whether the answer carries the signature of a replica."""
    return names.SIGNATURE in response.headers


def is_encoded(response: Response) -> bool:
    """Returns whether the body has an encoding that no caller asked for."""
    return "content-encoding" in response.headers


def read_idle_limit(response: Response) -> float | None:
    """Returns the seconds after which the replica closes an idle connection.

    None if the answer does not state them.
    """
    for item in response.headers.get("keep-alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None


def select_answer_fields(response: Response) -> Fields:
    """Returns the header fields of an answer that are forwarded to the caller."""
    return select_end_to_end(response.fields, dropped=_INTERNAL_FIELDS)
