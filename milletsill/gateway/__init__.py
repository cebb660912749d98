"""What every gateway process shares: the scheduler's host, timers, stall detection and process setup."""
