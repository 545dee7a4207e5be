"""Tables of searches."""
