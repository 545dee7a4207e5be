"""Tables of the configuration, the members and the leases."""
