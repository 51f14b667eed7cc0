"""Tests of reading callers' header fields and of the fields sent to replicas."""

from __future__ import annotations

import pytest

from sequoiamoor.core.routed_call import PromptPart, RoutedCall
from sequoiamoor.core.routes import Route
from sequoiamoor.errors import MalformedRequestError, QueueFullError
from sequoiamoor.net.http import Request, Response
from sequoiamoor.platform import callers, replicas
from sequoiamoor.types import PUBLIC_ORGANISATION, RouteKind


def build_request(**headers: str) -> Request:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Request("POST", "/a/x", "", named)


@pytest.mark.parametrize(
    ("field", "is_forwarded"),
    [
        ((b"x-model", b"m"), True),
        ((b"x-prompt-prefix", b"ab:4"), True),
        ((b"x-attempt-id", b"9c41"), True),
        ((b"host", b"alley.example"), True),
        ((b"last-event-id", b"4"), True),
        ((b"accept", b"*/*"), True),
        ((b"authorization", b"Bearer k"), False),
        ((b"x-tenant", b"other"), False),
        ((b"x-expected-instance", b"i-9"), False),
        ((b"x-deadline-ms", b"99999"), False),
        ((b"x-cache-retention", b"1"), False),
        ((b"x-pin-duration-ms", b"1"), False),
        ((b"x-kv-backup", b"10.0.0.1:1"), False),
        ((b"kv-from", b"10.0.0.1:1/2"), False),
        ((b"kv-fetch", b"10.0.0.1:1"), False),
        ((b"transfer-encoding", b"chunked"), False),
        ((b"content-length", b"4"), False),
        ((b"keep-alive", b"timeout=5"), False),
        ((b"expect", b"100-continue"), False),
        ((b"x-hop", b"named by connection"), False),
    ],
)
def test_only_end_to_end_fields_of_callers_are_forwarded(
    field: tuple[bytes, bytes], is_forwarded: bool
) -> None:
    """Guards against forwarding a caller's key or forged fleet fields to a replica."""
    fields = [(b"connection", b"close, X-Hop"), field]
    assert (field in callers.select_fields(fields)) is is_forwarded


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("5c1e07a2:800,91bd3f06:410", [("5c1e07a2", 800), ("91bd3f06", 410)]),
        ("", []),
        ("5c:x", []),
        ("5c:1,", []),
    ],
)
def test_prompt_parts_are_read(text: str, expected: list[tuple[str, int]]) -> None:
    """Guards against refusing a request because of a malformed hint."""
    parts = callers.read_prompt(build_request(x_prompt_prefix=text))
    assert parts == tuple(PromptPart(*part) for part in expected)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("1500", 1.5),
        ("0", None),
        ("-5", None),
        ("nan", None),
        ("inf", None),
        ("x", None),
    ],
)
def test_remaining_time_is_read(text: str, expected: float | None) -> None:
    """Guards against accepting a remaining time that is not positive and finite."""
    assert callers.read_remaining(build_request(x_deadline_ms=text)) == expected


@pytest.mark.parametrize(
    ("text", "expected"),
    [("Bearer k-1", "k-1"), ("bearer  k-1 ", "k-1"), ("Basic k-1", None), ("", None)],
)
def test_key_is_read(text: str, expected: str | None) -> None:
    """Guards against reading a key from another authentication scheme."""
    assert callers.read_key(build_request(authorization=text)) == expected


@pytest.mark.parametrize("value", ["", "a b", "x" * 201, "a, a b"])
def test_request_without_a_valid_identifier_is_refused(value: str) -> None:
    """Guards against a request whose answer cannot be matched to it."""
    with pytest.raises(MalformedRequestError):
        callers.read_request_id(build_request(x_attempt_id=value))


def test_refusal_carries_retry_time() -> None:
    """Guards against callers that all retry at once."""
    fields = callers.build_refusal(QueueFullError("full", retry_after=0.25), "9c41")
    assert (b"retry-after", b"0.25") in fields
    assert (b"x-attempt-id", b"9c41") in fields


@pytest.mark.parametrize(
    ("organisation", "expected"),
    [("captains", b"captains"), (PUBLIC_ORGANISATION, None)],
)
def test_attempt_names_replica_time_and_organisation(
    organisation: str, expected: bytes | None
) -> None:
    """Guards against a replica that runs a request meant for another replica."""
    route = Route(
        "r", "h", "/", RouteKind.ONCE, False, True, 1.0, 0.4, 0.4, 1, (("s", 1.0),)
    )
    call = RoutedCall(
        "c",
        "q",
        organisation,
        "r",
        "s",
        0.0,
        1.0,
        1.0,
        b"",
        route=route,
        fields=[(b"last-event-id", b"4"), (b"x-model", b"m")],
    )
    fields = dict(replicas.build_fields(call, "i-1", remaining=0.75, last_event=b"9"))
    assert fields[b"x-expected-instance"] == b"i-1"
    assert fields[b"x-deadline-ms"] == b"750"
    assert fields[b"last-event-id"] == b"9"
    assert fields[b"x-model"] == b"m"
    assert fields.get(b"x-tenant") == expected


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (503, {"x-not-executed": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (500, {}, False),
        (200, {}, False),
    ],
)
def test_only_an_explicit_statement_counts_as_not_run(
    status: int, headers: dict[str, str], expected: bool
) -> None:
    """Guards against reporting a request as not run although it was run."""
    assert replicas.states_not_run(Response(status, headers)) is expected
