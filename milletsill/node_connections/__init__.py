"""The gateway's connections to disk boxes: one pool for each box, which never waits for another."""
