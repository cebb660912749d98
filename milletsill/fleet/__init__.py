"""What gateways tell each other. Off without a `fleet` block in a gateway's file; docs/fleet.md."""
