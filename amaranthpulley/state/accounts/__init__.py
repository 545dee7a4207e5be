"""Tables of the journal."""
