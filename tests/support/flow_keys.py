"""Flow keys for tests."""

from milletsill.flows.flow_records import ClientFlowKey


def client_flow_key(client_port, volume="s"):
    return ClientFlowKey("10.0.0.1", client_port, "10.0.0.2", 1, volume, "p", "c")
