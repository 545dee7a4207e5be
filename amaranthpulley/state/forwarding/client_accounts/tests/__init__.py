"""Tests of the tables of client accounts."""
