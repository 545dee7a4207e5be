"""Stand-ins and drivers of the cases of the second review."""
