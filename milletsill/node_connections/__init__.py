"""The SFTP gateway's connections to storage nodes.

Each node has a pool of its own, so that no node delays attempts to another.

`connection_state` decides which connection an attempt uses, and when to dial, ping,
abort and close. `node_connection`, `attempt_exchange` and `connection_pool` do the I/O
on Twisted.
"""
