"""Accounts: the journal of requests, its writing, retention and gaps."""
