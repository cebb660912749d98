"""Stand-ins for the clients, storage nodes and platform of the review's cases."""
