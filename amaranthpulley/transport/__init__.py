"""Sockets, timers, clocks, logs and signals: all that touches the outside world."""
