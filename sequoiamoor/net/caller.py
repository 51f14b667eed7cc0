"""The caller interface: parsing of HTTP requests into calls, and refusals."""

from __future__ import annotations

import json
import math
import re

from ..core.blackboard import Blackboard
from ..errors import (
    MalformedRequestError,
    MethodNotAllowedError,
    NotFoundError,
    NotReadyError,
    RefusalError,
    UnknownClassError,
    UnknownOrganisationError,
    UnknownServiceError,
)
from ..types import CallRequest
from .http import Request
from .http_server import ServerConnection

_CALL_PATH = re.compile(r"/v1/services/([^/]+)/calls")
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
# These values are forwarded to upstreams. They must be printable ASCII, since other
# bytes have no agreed meaning in a header field.
_PREFIX_KEY = re.compile(r"[\x21-\x7e]{1,256}")
_CONTENT_TYPE = re.compile(r"[\x20-\x7e]{1,256}")


def parse_call(
    request: Request, board: Blackboard, *, call_id: str, now: float
) -> CallRequest:
    """Validates a caller's request and returns it as a call.

    Args:
        request: The received request.
        board: Blackboard with the current configuration.
        call_id: Identifier for the new call.
        now: Monotonic time in seconds.

    Returns:
        The call, ready to be queued.

    Raises:
        RefusalError: If the request cannot be accepted.
    """
    match = _CALL_PATH.fullmatch(request.path)
    if match is None:
        raise NotFoundError(
            f"path {_shorten(request.path)} is unknown; use /v1/services/SERVICE/calls"
        )
    if request.method != "POST":
        raise MethodNotAllowedError(f"method {request.method} is not allowed; use POST")
    if request.http_version != "1.1":
        # An HTTP/1.0 response has no chunks, so an incomplete stream could not be
        # distinguished from a complete one.
        raise MalformedRequestError(
            f"calls need HTTP/1.1 and not HTTP/{request.http_version}; send HTTP/1.1"
        )
    declaration = board.configuration.declaration
    if declaration is None:
        raise NotReadyError(
            "this router has no configuration yet; try another one or later",
            retry_after=1.0,
        )
    service = match.group(1)
    if service not in declaration.services:
        raise UnknownServiceError(
            f"service {_shorten(service)} is unknown; use one of "
            f"{_join_names(declaration.services)}"
        )
    organisation = _require_header(request, "x-organisation")
    if organisation not in declaration.organisations:
        raise UnknownOrganisationError(
            f"organisation {_shorten(organisation)} is unknown; ask an operator to "
            "declare it"
        )
    class_name = _require_header(request, "x-class")
    if class_name not in declaration.classes:
        raise UnknownClassError(
            f"class {_shorten(class_name)} is unknown; use one of "
            f"{_join_names(declaration.classes)}"
        )
    work_class = declaration.classes[class_name]
    wait_limit = work_class.wait_limit_ms / 1000
    deadline_ms = _read_number(request, "x-deadline-ms")
    if deadline_ms is not None:
        wait_limit = min(wait_limit, deadline_ms / 1000)
    request_id = request.headers.get("x-request-id")
    if request_id is not None and not _REQUEST_ID.fullmatch(request_id):
        raise MalformedRequestError(
            f"X-Request-Id {_shorten(request_id)} is invalid; use 1 to 128 letters, "
            "digits, '.', '_', ':' or '-'"
        )
    prefix_key = request.headers.get("x-prefix-key")
    if prefix_key is not None and not _PREFIX_KEY.fullmatch(prefix_key):
        raise MalformedRequestError(
            f"X-Prefix-Key {_shorten(prefix_key)} is invalid; use 1 to 256 visible "
            "ASCII characters"
        )
    content_type = request.headers.get("content-type", "application/json")
    if not _CONTENT_TYPE.fullmatch(content_type):
        raise MalformedRequestError(
            f"Content-Type {_shorten(content_type)} is invalid; use 1 to 256 ASCII "
            "characters"
        )
    return CallRequest(
        call_id=call_id,
        request_id=request_id or call_id,
        organisation=organisation,
        class_name=class_name,
        service=service,
        arrival=now,
        deadline=now + work_class.target_seconds,
        wait_limit_at=now + wait_limit,
        body=request.body,
        content_type=content_type,
        cost_hint=_read_number(request, "x-cost-hint"),
        prefix_key=prefix_key,
        wants_stream=_accepts_stream(request.headers.get("accept", "")),
        has_caller_id=request_id is not None,
        is_repeatable=declaration.services[service].repeatable,
        caller_deadline_at=None if deadline_ms is None else now + deadline_ms / 1000,
    )


def _join_names(names: object) -> str:
    assert hasattr(names, "__iter__")
    return ", ".join(sorted(names))


def _require_header(request: Request, name: str) -> str:
    value = request.headers.get(name)
    if value is None:
        raise MalformedRequestError(f"header {name!r} is missing; send it")
    return value


def _read_number(request: Request, name: str) -> float | None:
    text = request.headers.get(name)
    if text is None:
        return None
    if not _NUMBER.fullmatch(text) or not float(text):
        raise MalformedRequestError(
            f"header {name!r} is {_shorten(text)}; send a positive decimal number of "
            "at most 12 digits"
        )
    return float(text)


def _shorten(value: str) -> str:
    """Returns a caller's value for a message, quoted and of limited length."""
    return repr(value if len(value) <= 80 else value[:80] + "...")


def _accepts_stream(accept: str) -> bool:
    types = (part.partition(";")[0].strip().lower() for part in accept.split(","))
    return "text/event-stream" in types


def read_request_id(request: Request) -> str | None:
    """Returns the caller's identifier of the request, or None without a valid one."""
    request_id = request.headers.get("x-request-id")
    if request_id is None or not _REQUEST_ID.fullmatch(request_id):
        return None
    return request_id


def to_refusal_body(error: RefusalError, request_id: str | None) -> bytes:
    """Returns the JSON body of a refusal."""
    document = {
        "code": error.code,
        "message": str(error),
        "execution": error.execution.value,
        "request_id": request_id,
    }
    return json.dumps(document).encode() + b"\n"


async def send_refusal(
    connection: ServerConnection,
    error: RefusalError,
    request_id: str | None,
    *,
    call_id: str | None = None,
) -> None:
    """Sends a refusal as a complete response."""
    headers = {"content-type": "application/json"}
    if request_id is not None:
        headers["x-request-id"] = request_id
    if call_id is not None:
        headers["x-call-id"] = call_id
    if error.retry_after is not None:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after)))
    await connection.send_response(
        error.status, headers, to_refusal_body(error, request_id)
    )
