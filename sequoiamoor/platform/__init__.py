"""The operators' platform: its names, formats and calls, without any decisions."""
