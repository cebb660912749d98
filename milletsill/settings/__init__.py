"""The operator's files: protobuf text format, checked before anything starts.

`load` reads a file, `flaws` says what is wrong with one, and each other module checks
one part of a file. `milletsill.proto` has the fields.
"""
