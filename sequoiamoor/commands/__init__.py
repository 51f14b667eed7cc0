"""Implementation of the operators' commands."""
