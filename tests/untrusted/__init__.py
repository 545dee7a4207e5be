"""Clients that keep to no rule, and the processes that they are sent to."""
