"""Orders, run at most once by means of claims in the store."""
