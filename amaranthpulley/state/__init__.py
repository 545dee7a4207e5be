"""Tables that a daemon keeps in memory; they know nothing of I/O, time or chance."""
