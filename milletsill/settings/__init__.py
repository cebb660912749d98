"""The operator's files: protobuf text format, loaded and checked before anything starts."""
