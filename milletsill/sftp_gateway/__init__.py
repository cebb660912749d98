"""The SFTP gateway: clients, the scheduler's host, the steps of each command."""
