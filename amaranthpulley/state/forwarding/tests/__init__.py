"""Tests of the forwarding part of the state layer."""
