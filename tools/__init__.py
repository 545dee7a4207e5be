"""Tools for building and publishing the project."""
