"""The tables of client accounts."""
