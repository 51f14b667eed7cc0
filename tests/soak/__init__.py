"""Randomised soak: real routers, faults from outside, promises checked meanwhile."""
