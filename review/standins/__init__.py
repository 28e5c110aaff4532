"""Stand-ins of clients, servers and the platform for the review's cases."""
