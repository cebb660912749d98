"""Follow the list of storage nodes in an etcd v3 registry.

The package uses etcd's gRPC gateway, which speaks JSON over HTTP/1.1.

`registry_watcher` lists and watches the keys; `watch_state` is its state machine;
`endpoint_view` holds the listed nodes; `etcd_json` and `etcd_client` implement the
protocol; `endpoint_cache` keeps the last list on disk for a restart.
"""
