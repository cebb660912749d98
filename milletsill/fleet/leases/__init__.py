"""A lease service over replicated records: one holder a lease, and what it wrote."""
