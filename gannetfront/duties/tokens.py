"""A token as the epoch of a view, and back: what compares as tokens do. The life is in it: a proxy that began anew may win a round that
it had won before, where all electors forgot, and its views are others then."""

from ..tenants.kept import LIFE

PLACES = 16  # bits of a proxy's number


def epoch_of(token):
    return (token[0] << PLACES | token[1]) << LIFE | token[2]


def token_of(epoch):
    return epoch >> PLACES + LIFE, epoch >> LIFE & (1 << PLACES) - 1, epoch & (1 << LIFE) - 1
