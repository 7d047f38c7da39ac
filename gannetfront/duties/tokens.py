"""Conversion between a token and the epoch of a tenant view. Epochs compare as their tokens do.

The life is part of the epoch: where all electors have restarted, a restarted proxy may win a round that it
had won before, and its views then differ from those it gave out under that round earlier.
"""

from ..tenants.kept import LIFE_BITS

PROXY_BITS = 16  # bits of a proxy's number


def epoch_of(token):
    """The epoch, one integer, of a token (round, number, life)."""
    return (token[0] << PROXY_BITS | token[1]) << LIFE_BITS | token[2]


def token_of(epoch):
    """The token (round, number, life) of an epoch."""
    return (
        epoch >> PROXY_BITS + LIFE_BITS,
        epoch >> LIFE_BITS & (1 << PROXY_BITS) - 1,
        epoch & (1 << LIFE_BITS) - 1,
    )
