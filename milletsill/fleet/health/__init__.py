"""What gateways tell each other of disk boxes, and what they make of it together. See docs/health.md."""
