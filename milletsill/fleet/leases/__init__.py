"""Who keeps a channel, and its record at a majority of registers. docs/channels.md, "Registers and offices"."""
