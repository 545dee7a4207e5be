"""Tests of the decisions about client accounts."""
