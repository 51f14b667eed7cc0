"""Dispatch policies, which implement one interface and are chosen by name."""

from __future__ import annotations

from .base import Policy, create_policy

__all__ = ["Policy", "create_policy"]
