"""A lease service over replicated records.

A lease has at most one holder at a time; its record keeps what the holders wrote.
"""
