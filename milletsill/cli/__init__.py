"""The command line: it reads files, starts programs and prints results.

Each module defines the commands of one group. Commands import their dependencies when
they run, so that `milletsill --help` and `milletsill check` start quickly.
"""
