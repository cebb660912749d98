"""Piggybacked gossip: each update is attached to a bounded number of other frames."""
