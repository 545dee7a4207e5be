"""Stand-ins of the outside world: over HTTP, and under virtual time."""
