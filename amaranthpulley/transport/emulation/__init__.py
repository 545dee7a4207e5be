"""Stand-ins for the targets and the platform, over HTTP and under virtual time."""
