"""What the final answers of an SFTP command look like to a client."""

from milletsill.sftp import packets


def declined(answer):
    return isinstance(answer, packets.Status) and answer.language.startswith(
        "x-declined-"
    )


def aborted(answer):
    return isinstance(answer, packets.Status) and answer.language == "x-aborted"
