"""Tests of the header fields in answers of replicas."""

from __future__ import annotations

import pytest

from sequoiamoor.core.statements import DEFAULT_HOLD_SECONDS, Statement
from sequoiamoor.net.http import Response
from sequoiamoor.platform import replicas


@pytest.mark.parametrize("status", [100, 200, 404, 429, 500, 503])
@pytest.mark.parametrize(
    ("value", "is_leaving"),
    [("1", True), (" 1 ", True), ("1, 1", True), ("0", False), ("", False)],
)
def test_leaving_is_read_from_answers_of_any_status(
    status: int, value: str, is_leaving: bool
) -> None:
    """Guards against a replica that leaves and says so in an answer nobody looks at."""
    response = Response(status, {"server-leaving": value})
    statement = replicas.read_statement(response)
    assert (statement is not None and statement.is_leaving) == is_leaving


def test_answer_of_another_replica_says_nothing_about_the_expected_one() -> None:
    """Guards against taking a live replica for a leaving one at its former address."""
    fields = {"server-leaving": "1", "retry-after": "9"}
    assert replicas.read_statement(Response(421, fields)) is None


@pytest.mark.parametrize(
    ("value", "hold"),
    [
        ("0", 0.0),
        ("2", 2.0),
        (" 0.35 ", 0.35),
        ("5.0", 5.0),
        ("300", 300.0),
        ("300.1", None),
        ("9" * 40, None),
        ("-1", None),
        ("+1", None),
        ("nan", None),
        ("inf", None),
        ("1e2", None),
        ("1_0", None),
        (".5", None),
        ("1, 2", None),
        ("\u0662", None),
        ("Wed, 21 Oct 2026 07:28:00 GMT", None),
        ("", None),
    ],
)
def test_time_of_a_refusal_is_read_or_replaced_by_a_bounded_one(
    value: str, hold: float | None
) -> None:
    """Guards against a value that ends the request, or stops a replica for days."""
    statement = replicas.read_statement(Response(503, {"retry-after": value}))
    if hold is None:
        expected = Statement(False, DEFAULT_HOLD_SECONDS, value.strip())
    else:
        expected = Statement(False, hold)
    assert statement == expected


@pytest.mark.parametrize(
    "response",
    [
        Response(200, {"retry-after": "2"}),
        Response(429, {"retry-after": "2"}),
        Response(503, {"x-not-executed": "1"}),
    ],
)
def test_other_answers_ask_for_no_time(response: Response) -> None:
    """Guards against leaving out a replica that is only full."""
    assert replicas.read_statement(response) is None
