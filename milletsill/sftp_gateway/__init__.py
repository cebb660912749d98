"""The gateway at the edge: the clients' door, the host of the decision module, the way of each command."""
