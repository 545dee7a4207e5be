"""HTTP messages of forwarded requests."""
