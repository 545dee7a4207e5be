"""Tables of orders and their claims."""
