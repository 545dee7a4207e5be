"""Tests of the forwarding part of the transport layer."""
