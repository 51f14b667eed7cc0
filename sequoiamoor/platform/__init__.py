"""The operators' platform: its names, formats and calls, and nothing that decides."""
