"""Exchangeable dispatch policies behind one interface."""

from __future__ import annotations

from .base import Policy, create_policy

__all__ = ["Policy", "create_policy"]
