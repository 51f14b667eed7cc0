"""Prompt parts that requests of one service share."""

from __future__ import annotations

from dataclasses import dataclass

from ..types import ServiceName


@dataclass(frozen=True, slots=True, order=True)
class PartKey:
    """A prompt part of one service; equal identifiers stand for equal content."""

    service: ServiceName
    part_id: str
