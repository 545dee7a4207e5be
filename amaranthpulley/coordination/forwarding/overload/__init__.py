"""Which requests are accepted, wait and are refused while room is short."""
