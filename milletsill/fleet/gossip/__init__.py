"""News that rides on other frames: each piece goes out a bounded number of times."""
