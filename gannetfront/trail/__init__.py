"""The audit trail on disk."""


class Refused(Exception):
    """It could not be written down."""
