"""Orders: claims in the store, and at most one run of each."""
