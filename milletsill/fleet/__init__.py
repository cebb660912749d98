"""Communication between the gateways of a fleet.

A gateway imports this package only if its settings file has a `fleet` block.

docs/fleet.md describes the design and the operation of a fleet.
"""
