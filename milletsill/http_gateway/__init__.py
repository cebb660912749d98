"""The HTTP gateway process, which `milletsill serve` runs.

The gateway makes no scheduling decisions; the `scheduler` package makes them. `process`
starts the gateway and `gateway` connects its parts: `client_listener` and
`client_connection` serve clients, `request_parser` parses their requests, `node_pools`,
`node_pool` and `node_connection` connect to storage nodes, and `endpoint_watcher`
follows the endpoint list of the discovery service.
"""
