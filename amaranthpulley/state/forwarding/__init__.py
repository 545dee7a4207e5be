"""The tables of forwarded requests: routes, leaves, requests, budgets."""
