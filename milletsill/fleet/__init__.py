"""What gateways tell each other.

Loaded only where a gateway's file has a `fleet` block.

See docs/fleet.md for the design and for operators.
"""
