"""Measurements that are no part of the tests."""
