"""Checks for the final answers that a client receives to an SFTP command."""

from milletsill.sftp import packets


def is_declined(answer):
    return isinstance(answer, packets.Status) and answer.language.startswith(
        "x-declined-"
    )


def is_aborted(answer):
    return isinstance(answer, packets.Status) and answer.language == "x-aborted"
