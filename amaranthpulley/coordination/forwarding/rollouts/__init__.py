"""Moves a service's requests to the leaves of another version, and back."""
