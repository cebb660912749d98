"""Benchmarks, which the test suite does not run."""
