"""Contracts on the order of a channel's transfers: what may be let go when, at the one gateway that keeps the channel."""
