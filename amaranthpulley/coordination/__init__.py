"""Decisions: functions that turn an event into commands by reading and changing state.

The entry point is `engine.step`. Nothing here opens a socket, reads a clock, draws a
random number or writes a log: time and chance are arguments, and every effect is a
command that the caller of `engine.step` carries out.
"""
