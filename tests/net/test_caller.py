"""Tests of the caller interface: parsing of requests, and refusal bodies."""

from __future__ import annotations

import json
from typing import Any

import pytest

from sequoiamoor.core.blackboard import Blackboard, create_blackboard
from sequoiamoor.declaration import parse_declaration
from sequoiamoor.errors import NotReadyError, QueueFullError, RefusalError
from sequoiamoor.net.caller import parse_call, read_request_id, to_refusal_body
from sequoiamoor.net.http import Request
from sequoiamoor.options import Options
from sequoiamoor.types import CallRequest, Execution, RouterIdentity
from tests.listener_harness import DECLARATION


def build_board() -> Blackboard:
    board = create_blackboard(
        RouterIdentity("router-0", 1, "zone-a"), Options.model_validate({})
    )
    board.configuration.declaration = parse_declaration(DECLARATION)
    return board


def build_request(headers: dict[str, str], service: str = "talk") -> Request:
    fields = {"x-organisation": "a", "x-class": "chat", **headers}
    return Request("POST", f"/v1/services/{service}/calls", "", fields, b"{}")


def parse(headers: dict[str, str], service: str = "talk") -> CallRequest:
    request = build_request(headers, service)
    return parse_call(request, build_board(), call_id="c", now=100.0)


@pytest.mark.parametrize(
    ("headers", "field", "expected"),
    [
        ({}, "request_id", "c"),
        ({}, "has_caller_id", False),
        ({"x-request-id": "q.1:_-Z"}, "request_id", "q.1:_-Z"),
        ({"x-request-id": "q"}, "has_caller_id", True),
        ({}, "content_type", "application/json"),
        ({"content-type": "text/plain; a=b"}, "content_type", "text/plain; a=b"),
        ({}, "wait_limit_at", 130.0),
        ({"x-deadline-ms": "1500"}, "wait_limit_at", 101.5),
        ({"x-deadline-ms": "999999999"}, "wait_limit_at", 130.0),
        ({}, "deadline", 100.8),
        ({"x-cost-hint": "12.5"}, "cost_hint", 12.5),
        ({"x-prefix-key": "rules/v3~"}, "prefix_key", "rules/v3~"),
        ({}, "wants_stream", False),
        ({"accept": "*/*"}, "wants_stream", False),
        ({"accept": "text/event-stream"}, "wants_stream", True),
        ({"accept": "a/b, Text/Event-Stream;q=0.5"}, "wants_stream", True),
        ({"accept": "text/event-stream-x"}, "wants_stream", False),
        ({}, "is_sent", False),
    ],
)
def test_header_becomes_field(
    headers: dict[str, str], field: str, expected: Any
) -> None:
    """Guards against headers that are parsed differently from the documentation."""
    assert getattr(parse(headers), field) == expected


@pytest.mark.parametrize("service", ["desk", "once"])
def test_call_of_service_that_must_run_once_is_marked(service: str) -> None:
    """Guards against a second attempt of a call that must run at most once."""
    assert not parse({}, service).is_repeatable


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("x-request-id", "q" * 129),
        ("x-request-id", "q\n"),
        ("x-request-id", ""),
        ("x-prefix-key", "k" * 257),
        ("x-prefix-key", "k\x7f"),
        ("content-type", "t" * 257),
        ("x-cost-hint", "0.0"),
        ("x-cost-hint", "inf"),
        ("x-cost-hint", "1" * 13),
        ("x-deadline-ms", "\u0661"),
        ("x-class", "chat, chat"),
        ("x-organisation", "\u00e9" * 10_000),
    ],
)
def test_wrong_header_is_refused_in_a_short_message(name: str, value: str) -> None:
    """Guards against an invalid value that is accepted or repeated in full."""
    with pytest.raises(RefusalError) as caught:
        parse({name: value})
    assert caught.value.execution is Execution.WAS_NOT_RUN
    assert len(str(caught.value)) < 300


def test_router_without_configuration_is_not_ready() -> None:
    """Guards against an unknown-service error of a router without a configuration."""
    board = build_board()
    board.configuration.declaration = None
    with pytest.raises(NotReadyError):
        parse_call(build_request({}), board, call_id="c", now=0.0)


def test_refusal_body_names_all_fields() -> None:
    """Guards against a refusal that a program cannot parse."""
    error = QueueFullError('full \u00e9 "\\\n', retry_after=1.0)
    assert json.loads(to_refusal_body(error, "q")) == {
        "code": "queue-full",
        "message": 'full \u00e9 "\\\n',
        "execution": "was not run",
        "request_id": "q",
    }


@pytest.mark.parametrize(
    ("value", "expected"),
    [("q-1", "q-1"), ("q 1", None), ("\u00e9", None), (None, None)],
)
def test_only_a_valid_identifier_is_repeated(
    value: str | None, expected: str | None
) -> None:
    """Guards against an invalid identifier in the head of a refusal."""
    headers = {} if value is None else {"x-request-id": value}
    assert read_request_id(build_request(headers)) == expected
