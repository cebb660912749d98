"""The SFTP gateway's connections to storage nodes.

One pool a node, none waits for another.

`connection_state` decides (which connection an attempt takes, when to dial, ping, abort
and close); `node_connection`, `attempt_exchange` and `connection_pool` do the I/O on
Twisted.
"""
