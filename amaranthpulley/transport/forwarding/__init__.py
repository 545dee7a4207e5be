"""Sockets of forwarded requests, and the process that serves them."""
