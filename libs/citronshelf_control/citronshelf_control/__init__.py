"""Control daemon: platform client, peering, server health and status."""
