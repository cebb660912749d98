"""The SFTP gateway: client connections, command execution, routing and channels."""
