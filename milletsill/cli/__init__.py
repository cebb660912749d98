"""The command line, thin: it reads files, starts programs, prints.

Each module has the commands of one group. What a command needs is imported when it
runs, so that `milletsill --help` and `milletsill check` start quickly.
"""
