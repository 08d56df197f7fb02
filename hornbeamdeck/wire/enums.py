"""The enumerations of `peer.thrift` as Python enumerations."""

import enum

from hornbeamdeck.wire.gen.peer import ttypes

__all__ = ('RefusalReason', 'RunEnd', 'TunnelResult')


class RefusalReason(enum.IntEnum):
    """Why an owner refuses a request."""

    DEADLINE = ttypes.RefusalReason.DEADLINE
    OVERLOADED = ttypes.RefusalReason.OVERLOADED
    NO_UPSTREAM = ttypes.RefusalReason.NO_UPSTREAM
    UNKNOWN_CELL = ttypes.RefusalReason.UNKNOWN_CELL
    TEAM_LIMIT = ttypes.RefusalReason.TEAM_LIMIT
    CULPRIT = ttypes.RefusalReason.CULPRIT
    TOO_MANY_TRIES = ttypes.RefusalReason.TOO_MANY_TRIES
    UNKNOWN_STREAM = ttypes.RefusalReason.UNKNOWN_STREAM


class RunEnd(enum.IntEnum):
    """How a run ended, as its ingress reports it to the owner."""

    ANSWERED = ttypes.RunEnd.ANSWERED
    FAILED = ttypes.RunEnd.FAILED
    NOT_DISPATCHED = ttypes.RunEnd.NOT_DISPATCHED
    CANCELLED = ttypes.RunEnd.CANCELLED
    REJECTED = ttypes.RunEnd.REJECTED
    MISDIRECTED = ttypes.RunEnd.MISDIRECTED
    ERRORED = ttypes.RunEnd.ERRORED
    UNREACHABLE = ttypes.RunEnd.UNREACHABLE
    SILENT = ttypes.RunEnd.SILENT


class TunnelResult(enum.IntEnum):
    """Whether an instance has opened a tunnel to an upstream."""

    OPENED = ttypes.TunnelResult.OPENED
    UNREACHED = ttypes.TunnelResult.UNREACHED
    PARTITIONED = ttypes.TunnelResult.PARTITIONED
    WITHHELD = ttypes.TunnelResult.WITHHELD
    BUSY = ttypes.TunnelResult.BUSY
