"""Settings files in protobuf text format, checked before anything starts.

`load` reads a file, `flaws` reports what is wrong in it, and each other module checks
one part of a file. `milletsill.proto` defines the fields.
"""
