"""Decisions of a router: pure code on the blackboard, without input and output."""
