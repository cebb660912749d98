"""The gateway in service on the platform: `milletsill serve`. It decides nothing about a transfer."""
