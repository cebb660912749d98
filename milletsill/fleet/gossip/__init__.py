"""Piggybacked gossip: each update rides on a bounded number of other frames."""
