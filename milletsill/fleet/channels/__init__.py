"""Ordered channels: numbered requests, released in the order of a declared contract.

One gateway owns a channel at a time, under a lease; clients may come to any gateway of
the fleet. See docs/channels.md.
"""
