"""Parsing of plain requests that have arrived whole, without the cost of h11.

A router that refuses many requests spends most of its time on parsing them. Anything
that is not plain is left to h11.
"""

from __future__ import annotations

import re

from .http import Request, to_header_dict

_HEAD = re.compile(
    rb"(GET|POST|PUT|PATCH|DELETE) ([\x21-\x7e]+) HTTP/1\.1\r\n"
    rb"((?:[0-9A-Za-z!#$%&'*+.^_`|~-]+:[ \t]*[\x21-\x7e][\t\x20-\x7e]*\r\n)+)\r\n"
)
_LENGTH = re.compile(r"[0-9]{1,9}")

_UNUSUAL_FIELDS = frozenset(
    {"connection", "expect", "http2-settings", "transfer-encoding", "upgrade"}
)
"""Fields that change how the connection goes on or how the body is framed."""


def parse_plain_request(
    data: bytes, *, header_limit: int, body_limit: int
) -> Request | None:
    """Parses one request that is all of the data.

    Args:
        data: Bytes of the request.
        header_limit: Largest size of the head in bytes.
        body_limit: Largest size of the body in bytes.

    Returns:
        The request as h11 would return it, or None if only h11 can tell: if more or
        less than one request has arrived, a limit is exceeded, or the head is unusual.
    """
    match = _HEAD.match(data)
    if match is None or match.end() > header_limit:
        return None
    lines = [line.partition(b":") for line in match[3].split(b"\r\n")[:-1]]
    fields = [(name.lower(), value.strip(b" \t")) for name, _, value in lines]
    headers = {name.decode(): value.decode() for name, value in fields}
    if len(headers) < len(fields):
        headers = to_header_dict(fields)
    if "host" not in headers or not _UNUSUAL_FIELDS.isdisjoint(headers):
        return None
    length = headers.get("content-length", "0")
    # Neither field may be repeated; a list of several values has a comma.
    if not _LENGTH.fullmatch(length) or "," in headers["host"]:
        return None
    if int(length) > body_limit or len(data) - match.end() != int(length):
        return None
    path, _, query = match[2].decode("ascii").partition("?")
    return Request(
        match[1].decode("ascii"),
        path,
        query,
        headers,
        body=data[match.end() :],
        target=match[2],
        fields=fields,
    )
