"""Randomized soak test: real processes, injected faults and checked guarantees."""
