"""Decisions of a router: pure code on the blackboard, without input or output."""
