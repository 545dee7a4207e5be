"""Tests of the decisions about roll-outs."""
