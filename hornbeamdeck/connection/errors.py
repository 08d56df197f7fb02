"""Errors of the connection layer."""

from typing import NamedTuple, TypeAlias

__all__ = (
    'BadRequest',
    'ConnectFailed',
    'ConnectionBroken',
    'CallerClosed',
    'ReadError',
)


class ConnectFailed(NamedTuple):
    """Connecting failed, so no byte was written.

    :param is_timeout: whether nothing responded within the time limit; `False`:
        the connection was refused or reset.
    :param is_local: whether this process had no socket for it, which says
        nothing of the other side.
    """

    address: str
    cause: str
    is_timeout: bool = False
    is_local: bool = False


class ConnectionBroken(NamedTuple):
    """An open connection failed, or the other side violated the protocol.

    :param is_timeout: whether the other side has only been silent too long.
    :param limit: name of the limit that was exceeded; empty: none.
    :param is_unsent: whether no byte of a request was sent, so that it has
        certainly not run.
    """

    cause: str
    is_timeout: bool = False
    limit: str = ''
    is_unsent: bool = False


class CallerClosed(NamedTuple):
    """The caller closed, or idled too long, before its next request."""


class BadRequest(NamedTuple):
    """A request that can't be read, and the HTTP status to respond with.

    :param code: machine-readable name of the reason.
    :param retry_after_ms: delay before a retry; `None`: it would fail too.
    """

    status: int
    detail: str
    code: str = 'unreadable'
    retry_after_ms: int | None = None


ReadError: TypeAlias = BadRequest | CallerClosed | ConnectionBroken
