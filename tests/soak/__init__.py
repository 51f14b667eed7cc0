"""Randomised soak test: real router processes under injected faults."""
