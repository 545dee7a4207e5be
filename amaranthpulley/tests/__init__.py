"""Tests of the command line and the whole path."""
