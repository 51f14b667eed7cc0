"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes
import logging

_LOG = logging.getLogger(__name__)

_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
_ARENA_MAX = -8

LARGE_BYTES = 65_536
"""Blocks from this size on are mapped one by one and unmapped when they are freed. By
default the bound grows with the first large block that is freed, up to 32 MB; later
ones then leave holes that stay resident."""

KEPT_BYTES = 131_072
"""Free bytes at the end of the heap that are not given back."""

ARENAS = 2
"""Heaps of the main loop and of the thread of the feeds. Each further one keeps its own
free blocks."""


def bound_free_memory() -> None:
    """Lets the allocator give freed memory back; does nothing where it cannot."""
    try:
        change_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    for option, value in (
        (_MMAP_THRESHOLD, LARGE_BYTES),
        (_TRIM_THRESHOLD, KEPT_BYTES),
        (_ARENA_MAX, ARENAS),
    ):
        if not change_option(option, value):
            _LOG.debug("allocator option %d not set", option)
