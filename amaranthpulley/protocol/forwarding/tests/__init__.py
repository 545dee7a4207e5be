"""Tests of the forwarding part of the protocol layer."""
