"""Decoding of chunked bodies."""

from __future__ import annotations

import re
from functools import lru_cache

import h11

CHUNK_LINE_LIMIT_BYTES = 256

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
    """

    __slots__ = ("_buffer", "_remaining_bytes", "rest")

    def __init__(self) -> None:
        self._buffer = b""
        self._remaining_bytes = 0
        self.rest: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes and returns the body bytes among them.

        Raises:
            h11.RemoteProtocolError: If the framing is wrong.
        """
        if self._buffer:
            data = self._buffer + data
        size = len(data)
        position = 0
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
            else:
                end = data.find(b"\r\n", position)
                if end < 0:
                    if size - position > CHUNK_LINE_LIMIT_BYTES:
                        raise h11.RemoteProtocolError("the head of a chunk is too long")
                    break
                chunk_size = parse_chunk_size(data[position:end])
                if not chunk_size:
                    self.rest = data[position:]
                    self._buffer = b""
                    return b"".join(parts)
                position = end + 2
                self._remaining_bytes = chunk_size + 2
        self._buffer = data[position:]
        return parts[0] if len(parts) == 1 else b"".join(parts)
