"""Tests of the whole repository and the runner of all tests.

Importing this package makes property-based tests repeatable: the examples
depend on nothing but the test's code, and no example is stored.
"""

import hypothesis

hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("repeatable")
