"""An engine as the decisions see it."""

from typing import NamedTuple

__all__ = ('Engine',)


class Engine(NamedTuple):
    """One incarnation of an upstream.

    :param name: its id; `name` and `born_ms` together identify an incarnation.
    :param address: `ip:port`.
    :param version: version of its software; empty: not stated.
    :param slots: how many requests it processes concurrently.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool
    born_ms: int
    version: str = ''
