"""SFTP version 3 packets and their extensions: codecs for both ends, no transport."""
