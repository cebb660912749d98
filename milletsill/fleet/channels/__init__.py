"""Ordered channels: numbered requests that start in the order of a declared contract.

One gateway at a time owns a channel, under a lease. Clients may connect to any gateway
of the fleet, which forwards their commands to the owner. See docs/channels.md.
"""
