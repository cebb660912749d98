"""The command line, thin: it reads files, starts programs, prints."""
