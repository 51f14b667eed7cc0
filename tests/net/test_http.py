"""Tests of header fields and head checks."""

from __future__ import annotations

import pytest

from sequoiamoor.errors import MalformedRequestError
from sequoiamoor.net.http import check_request_head, to_header_dict


@pytest.mark.parametrize(
    "head",
    [
        b"POST / HTTP/1.1\r\nA: b\r\n c",
        b"POST / HTTP/1.1\r\nA: b\n\tc",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\ntransfer-encoding: chunked",
        b"POST / HTTP/1.1\nCONTENT-LENGTH: 1\nTransfer-Encoding:identity",
        b"POST / HTTP/1.1\r\nContent-Length : 1\r\nTransfer-Encoding: chunked",
    ],
)
def test_ambiguous_head_is_refused(head: bytes) -> None:
    """Guards against request smuggling: heads that two parsers read differently."""
    with pytest.raises(MalformedRequestError):
        check_request_head(head)


def test_repeated_field_is_joined() -> None:
    """Guards against silent use of the last of several values."""
    fields = [(b"x-class", b"a"), (b"host", b"h"), (b"x-class", b"b")]
    assert to_header_dict(fields) == {"x-class": "a, b", "host": "h"}
