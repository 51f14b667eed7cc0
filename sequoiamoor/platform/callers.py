"""Header fields of callers' requests and of refusals on the platform."""

from __future__ import annotations

import re

import xxhash

from ..core.routed_call import Fields, PromptPart
from ..errors import MalformedRequestError, RefusalError
from ..net.http import Request
from . import names

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
MAX_PART_ID_CHARACTERS = 64
"""Longest identifier of a prompt part that is kept as it is."""

_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,200}")
_PROMPT_PART = re.compile(r"\s*([0-9a-fA-F]+):([0-9]{1,9})\s*")


def select_fields(fields: Fields) -> Fields:
    """Returns the header fields of a request that are forwarded to a replica."""
    return select_end_to_end(fields, dropped=names.FLEET_FIELDS)


def select_end_to_end(fields: Fields, *, dropped: frozenset[bytes]) -> Fields:
    """Returns the end-to-end header fields without those in ``dropped``."""
    dropped = _HOP_BY_HOP | dropped
    for name, value in fields:
        if name == b"connection":
            dropped |= {token.strip().lower() for token in value.split(b",")}
    return [field for field in fields if field[0] not in dropped]


def read_request_id(request: Request) -> str:
    """Returns the caller's identifier of the attempt.

    Raises:
        MalformedRequestError: If it is missing or malformed.
    """
    value = request.headers.get(names.REQUEST_ID, "")
    if not _REQUEST_ID.fullmatch(value):
        raise MalformedRequestError(
            f"header {names.REQUEST_ID!r} is {value[:80]!r}; send 1 to 200 visible "
            "ASCII characters"
        )
    return value


def read_host(request: Request) -> str:
    """Returns the host of the request in lower case, without the port."""
    return request.headers.get("host", "").partition(":")[0].lower()


def read_remaining(request: Request) -> float | None:
    """Returns the seconds for which the caller will wait; None if not given."""
    try:
        value = float(request.headers[names.REMAINING_MS]) / 1000
    except (KeyError, ValueError):
        return None
    return value if 0 < value < float("inf") else None


def read_key(request: Request) -> str | None:
    """Returns the bearer key of the request, or None if it has none."""
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def read_prompt(request: Request) -> tuple[PromptPart, ...]:
    """Returns the parts of the prompt; none if the list is malformed.

    The identifiers come as one spelling of the hexadecimal number; very long ones come
    as their hash.
    """
    text = request.headers.get(names.PROMPT_PARTS)
    if not text:
        return ()
    parts = []
    for item in text.split(","):
        match = _PROMPT_PART.fullmatch(item)
        if match is None:
            return ()
        parts.append(PromptPart(_normalise_part_id(match[1]), int(match[2])))
    return tuple(parts)


def _normalise_part_id(text: str) -> str:
    part_id = text.lower()
    if len(part_id) <= MAX_PART_ID_CHARACTERS:
        return part_id
    return xxhash.xxh128_hexdigest(part_id.encode())


def read_output_tokens(request: Request) -> tuple[int | None, int | None]:
    """Returns the estimated and the largest length of the output, in tokens.

    Each of them is None if its header field is missing or malformed.
    """
    hint = _read_count(request.headers.get(names.LENGTH_HINT, ""))
    _, _, limit = request.headers.get(names.TOKEN_COUNTS, "").partition(",")
    return hint, _read_count(limit)


def _read_count(text: str) -> int | None:
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else None


def build_refusal(error: RefusalError, request_id: str | None) -> Fields:
    """Returns the header fields of a refusal."""
    fields: Fields = [(b"content-type", b"application/json")]
    if request_id is not None:
        fields.append((names.REQUEST_ID.encode(), request_id.encode()))
    if error.retry_after is not None:
        fields.append((b"retry-after", b"%.2f" % error.retry_after))
    return fields
