"""Messages on the wire, their codecs, and the mapping of errors to codes."""
