"""Tests of the forwarding part of the coordination layer."""
