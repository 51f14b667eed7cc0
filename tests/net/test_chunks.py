"""Tests of the decoding of chunked bodies."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiamoor.net.chunks import CHUNK_LINE_LIMIT_BYTES, ChunkDecoder


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    chunks=st.lists(st.binary(min_size=1, max_size=40), max_size=6),
    cuts=st.lists(st.integers(0, 400), max_size=20),
    extension=st.sampled_from([b"", b";a=b", b" ;a"]),
)
def test_any_split_of_chunks_gives_the_same_body(
    chunks: list[bytes], cuts: list[int], extension: bytes
) -> None:
    """Guards against bytes lost, repeated or held back where a read splits a chunk."""
    data = b"".join(b"%X%b\r\n%b\r\n" % (len(part), extension, part) for part in chunks)
    data += b"0\r\nTrailer: x\r\n\r\n"
    positions = [0, *sorted(cut for cut in cuts if cut <= len(data)), len(data)]
    decoder = ChunkDecoder()
    body = rest = b""
    for begin, end in zip(positions, positions[1:], strict=False):
        if decoder.rest is not None:
            rest += data[begin:end]
        else:
            body += decoder.feed(data[begin:end])
    assert body == b"".join(chunks)
    assert decoder.rest is not None
    assert decoder.rest + rest == b"0\r\nTrailer: x\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    [
        b"\r\n",
        b"x\r\n",
        b"+1\r\n",
        b"1_0\r\n",
        b"0x1\r\n",
        b" 1\r\n",
        b"1\n",
        b"-1\r\n",
        b"1" * 17 + b"\r\n",
        b"1\r\nab\r\n",
        b"1\r\na\rb",
        b"1;" + b"x" * CHUNK_LINE_LIMIT_BYTES,
    ],
)
def test_wrong_chunk_is_an_error(data: bytes) -> None:
    """Guards against a body that ends at another position than the upstream meant."""
    decoder = ChunkDecoder()
    if data == b"1\n":
        # A line feed alone does not end the line, so the decoder waits for more.
        assert decoder.feed(data) == b""
        data = b"\r\n"
    with pytest.raises(h11.RemoteProtocolError):
        decoder.feed(data)
