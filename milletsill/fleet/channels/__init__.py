"""Channels: numbered transfers in a declared order, whichever gateway a client comes to (docs/channels.md).

Contracts on that order: what may be let go when, at the one gateway that keeps the channel.
"""
