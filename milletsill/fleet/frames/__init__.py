"""The messages between the gateways of a fleet, and their encoding."""
