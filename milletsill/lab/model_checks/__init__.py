"""Model checks of the real state machines of leases, channels and quotas.

Each check explores every order of events up to a depth, and makes seeded random walks.
"""
