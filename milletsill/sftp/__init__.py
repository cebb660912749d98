"""The file-command protocol: SFTP version 3 packets, both ends, without a transport."""
