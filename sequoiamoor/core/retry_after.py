"""Retry-After of refused streams."""

from __future__ import annotations

RETRY_AFTER_TARGETS = 4.0
"""Retry-After of a refused stream as a multiple of its route's target. A caller that
retries at once meets the same load that it was refused for."""

RETRY_AFTER_JITTER_FRACTION = 0.5
"""Largest fraction by which Retry-After is shortened or lengthened at random, so that
retries spread out."""
