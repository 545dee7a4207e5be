"""Tests of the decisions under overload."""
