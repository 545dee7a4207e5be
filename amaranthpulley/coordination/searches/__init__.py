"""Searches: routing, fan-out, hedging, snapshots, and the care for targets."""
