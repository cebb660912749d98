"""The HTTP gateway in service on the platform: `milletsill serve`.

It decides nothing about a request; `scheduler` does. `process` starts it, `gateway`
puts it together: `client_listener` and `client_connection` towards clients,
`request_parser` for what they ask, `node_pools`, `node_pool` and `node_connection`
towards storage nodes, `endpoint_watcher` towards discovery.
"""
