"""Input and output around the decisions."""
