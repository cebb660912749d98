"""Follows the list of disk boxes in a key-value registry: etcd v3's HTTP/JSON gateway."""
