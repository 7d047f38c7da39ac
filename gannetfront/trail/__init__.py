"""The audit trail on disk."""


class Refused(Exception):
    """The record could not be written to the trail."""
