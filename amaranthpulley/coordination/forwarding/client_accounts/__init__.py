"""Who may send requests, and how many: keys and quotas of client accounts."""
