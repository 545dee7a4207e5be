"""The journal of requests: its records, writes, retention and gaps."""
