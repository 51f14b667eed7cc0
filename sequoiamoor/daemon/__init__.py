"""The router process."""

from __future__ import annotations

from .router import Router, run_router

__all__ = ["Router", "run_router"]
