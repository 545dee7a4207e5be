"""Control: change tickets, membership, leases and the exchange between peers."""
