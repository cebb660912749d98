"""The simulator's adapter: hosts many scheduler instances on one byte stream."""
