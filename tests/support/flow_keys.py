"""Keys of flows for tests."""

from milletsill.flows.flow_records import ClientFlowKey


def client_flow_key(number, store="s"):
    return ClientFlowKey("10.0.0.1", number, "10.0.0.2", 1, store, "p", "c")
