"""Model checks.

The product's own state machines under every order of events up to a depth, and under
chance.
"""
