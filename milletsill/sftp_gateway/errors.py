"""What can go wrong at a gateway as a whole, by type."""

from __future__ import annotations

from milletsill.errors import ConfigurationRejectedError, StateNotStoredError


class RestartRequiredError(ConfigurationRejectedError):
    """A file on SIGHUP that changes what a running gateway cannot change."""

    remedy = (
        "restart the gateway to take it, or put those fields back; nothing of the file "
        "was taken"
    )


class IncarnationNotStoredError(StateNotStoredError):
    """The number of this start, which cannot be read or written."""

    remedy = (
        "make room in state_dir or make it writable; until then each start takes its "
        "number from the wall clock"
    )
