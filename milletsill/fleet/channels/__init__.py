"""Channels: numbered transfers in a declared order, whichever gateway a client comes to. docs/channels.md."""
