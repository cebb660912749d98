"""Errors that concern a whole gateway."""

from __future__ import annotations

from milletsill.errors import ConfigurationRejectedError, StateNotStoredError


class RestartRequiredError(ConfigurationRejectedError):
    """The file read on SIGHUP changes settings that need a restart."""

    remedy = (
        "restart the gateway to apply the file, or restore those fields; no setting "
        "of the file was applied"
    )


class IncarnationNotStoredError(StateNotStoredError):
    """The gateway's incarnation cannot be read from disk or written to it."""

    remedy = (
        "free space in state_dir or make it writable; until then each start derives "
        "its incarnation from the wall clock"
    )
