"""Stand-ins for the platform, its leaves and clients, used by the review's cases."""
