"""The decisions about forwarded requests: leaves, second sends, merging, answers."""
