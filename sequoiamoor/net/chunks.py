"""Decoding of chunked bodies, in bounded steps."""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import lru_cache

import h11

from .parsing_turns import wait_turn

CHUNK_LINE_LIMIT_BYTES = 256

FREE_CHUNKS = 32
"""Chunks that are decoded at once. Most receives have fewer, and they wait for no
turn."""

CHUNKS_PER_TURN = 512
"""Chunks that are decoded in one turn. A turn takes about as long as relaying a few
events, whatever the size of the chunks is."""

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")


@lru_cache(maxsize=1024)
def parse_chunk_size(line: bytes) -> int:
    """Returns the size in bytes that the head of a chunk states.

    Raises:
        h11.RemoteProtocolError: If the line is not the head of a chunk.
    """
    match = _CHUNK_SIZE.fullmatch(line)
    if match is None:
        raise h11.RemoteProtocolError(f"invalid chunk head {line[:80]!r}")
    return int(match[1], 16)


class ChunkDecoder:
    """Removes the framing of a chunked body up to its last, empty chunk.

    Attributes:
        rest: Bytes from the last chunk on, None before it is reached. They are passed
            to h11, which detects the end of the body from them.
        is_paused: Whether the last call ended at its limit of chunks, so that bytes
            may be left to decode.
    """

    __slots__ = (
        "_body_limit_bytes",
        "_buffer",
        "_line_limit_bytes",
        "_position",
        "_remaining_bytes",
        "_size",
        "hold",
        "is_paused",
        "rest",
    )

    def __init__(
        self,
        *,
        line_limit_bytes: int = CHUNK_LINE_LIMIT_BYTES,
        body_limit_bytes: int | None = None,
        hold: Callable[[int], None] = lambda size: None,
    ) -> None:
        """Initialises the decoder.

        Args:
            line_limit_bytes: Longest head of a chunk.
            body_limit_bytes: Sum of the sizes of all chunks; None for any.
            hold: Called with the number of received bytes that wait for a turn to be
                decoded, if any do; an error that it raises ends the body.
        """
        self._line_limit_bytes = line_limit_bytes
        self._body_limit_bytes = body_limit_bytes
        self.hold = hold
        self._size = 0
        self._buffer = b""
        self._position = 0
        self._remaining_bytes = 0
        self.rest: bytes | None = None
        self.is_paused = False

    @property
    def pending_bytes(self) -> int:
        """Bytes that are allocated for what is left to decode."""
        return len(self._buffer)

    def feed(self, data: bytes, *, max_chunks: int | None = None) -> bytes:
        """Adds received bytes and returns the body bytes among them.

        Args:
            data: The bytes; none to decode what an earlier call left.
            max_chunks: Number of chunks that this call may begin; None for any.

        Raises:
            h11.RemoteProtocolError: If the framing is wrong. Its hint is 431 if the
                head of a chunk is over the limit, and 413 if the body is.
        """
        position = self._position
        if not data:
            data = self._buffer
        elif self._buffer:
            data, position = self._buffer[position:] + data, 0
        size = len(data)
        self._position = 0
        chunk_count = 0
        self.is_paused = False
        parts: list[bytes] = []
        while position < size:
            # _remaining_bytes includes the CR LF that follows the data of the chunk.
            if self._remaining_bytes > 2:
                part = data[position : position + self._remaining_bytes - 2]
                parts.append(part)
                position += len(part)
                self._remaining_bytes -= len(part)
            elif self._remaining_bytes:
                if not b"\r\n".startswith(data[position : position + 2]):
                    raise h11.RemoteProtocolError(
                        "the data of a chunk is not followed by CR LF"
                    )
                if size - position < 2:
                    break
                position += 2
                self._remaining_bytes = 0
            elif chunk_count == max_chunks:
                self.is_paused = True
                # What is left is not copied, as each of many turns would do so.
                self._buffer, self._position = data, position
                return b"".join(parts)
            else:
                end = data.find(b"\r\n", position)
                line_bytes = (size if end < 0 else end) - position
                if line_bytes > self._line_limit_bytes:
                    raise h11.RemoteProtocolError(
                        "the head of a chunk is too long", error_status_hint=431
                    )
                if end < 0:
                    break
                chunk_size = parse_chunk_size(data[position:end])
                if not chunk_size:
                    self.rest = data[position:]
                    self._buffer = b""
                    return b"".join(parts)
                chunk_count += 1
                self._size += chunk_size
                limit = self._body_limit_bytes
                if limit is not None and self._size > limit:
                    raise h11.RemoteProtocolError(
                        f"the body is over {limit} bytes", error_status_hint=413
                    )
                position = end + 2
                end = position + chunk_size
                if data[end : end + 2] == b"\r\n":
                    parts.append(data[position:end])
                    position = end + 2
                else:
                    self._remaining_bytes = chunk_size + 2
        self._buffer = data[position:]
        return parts[0] if len(parts) == 1 else b"".join(parts)


async def decode_in_turns(decoder: ChunkDecoder, data: bytes) -> bytes:
    """Adds received bytes to a decoder and returns the body bytes among them.

    Raises:
        h11.RemoteProtocolError: If the framing is wrong.
    """
    body = decoder.feed(data, max_chunks=FREE_CHUNKS)
    if not decoder.is_paused:
        return body
    decoder.hold(decoder.pending_bytes)
    parts = [body]
    while decoder.is_paused:
        await wait_turn()
        parts.append(decoder.feed(b"", max_chunks=CHUNKS_PER_TURN))
    return b"".join(parts)
