"""Decisions: functions that update the state for an event and return commands.

The entry point is `engine.step`. Nothing here opens a socket, reads a clock, generates
a random number or writes a log: the time and a random source are arguments, and every
side effect is a command that the caller of `engine.step` executes.
"""
