"""The octets of what gateways say to each other: protobuf frames, bounded, of one fleet."""
