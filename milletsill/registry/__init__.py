"""Follow the list of storage nodes in a key-value registry.

Etcd v3's HTTP/JSON gateway.

`registry_watcher` lists and watches; `watch_state` decides what each event means;
`endpoint_view` is what was last listed; `etcd_json` and `etcd_client` speak to the
registry; `endpoint_cache` keeps the last list on disk for a restart.
"""
