"""Checks across sections of a document, which the schema can't express."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

from hornbeamdeck.version.const import (
    CONF_ADDRESS,
    CONF_KEY_SHA256,
    CONF_NAME,
    CONF_RANK,
    CONF_SERVICE,
    CONF_SERVICES,
    CONF_TEAMS,
    CONF_TIERS,
    CONF_UPSTREAMS,
)

__all__ = ('DocumentError', 'cross_check')

UNIQUE_FIELDS: Final = (
    (CONF_TIERS, CONF_NAME),
    (CONF_TIERS, CONF_RANK),
    (CONF_SERVICES, CONF_NAME),
    (CONF_TEAMS, CONF_NAME),
    (CONF_TEAMS, CONF_KEY_SHA256),
    (CONF_UPSTREAMS, CONF_NAME),
    (CONF_UPSTREAMS, CONF_ADDRESS),
)


class DocumentError(NamedTuple):
    """An error in a document.

    :param path: of the field: its keys and indexes, joined by dots.
    """

    path: str
    message: str


def cross_check(checked: Mapping[str, Any]) -> tuple[DocumentError, ...]:
    """Find repeated values of unique fields, and undefined names."""
    return (*_find_duplicates(checked), *_find_undefined(checked))


def _find_duplicates(checked: Mapping[str, Any]) -> Iterator[DocumentError]:
    for section, field in UNIQUE_FIELDS:
        counts: Counter[Any] = Counter()
        for index, entry in enumerate(checked[section]):
            counts[entry[field]] += 1
            if counts[entry[field]] > 1:
                yield DocumentError(
                    f'{section}.{index}.{field}',
                    f'{entry[field]} stands twice',
                )


def _find_undefined(checked: Mapping[str, Any]) -> Iterator[DocumentError]:
    tiers = {tier[CONF_NAME] for tier in checked[CONF_TIERS]}
    services = {service[CONF_NAME] for service in checked[CONF_SERVICES]}
    for index, team in enumerate(checked[CONF_TEAMS]):
        yield from _check_defined(
            f'teams.{index}.tiers', team[CONF_TIERS], tiers
        )
        yield from _check_defined(
            f'teams.{index}.services',
            team[CONF_SERVICES],
            services,
        )
    for index, upstream in enumerate(checked[CONF_UPSTREAMS]):
        yield from _check_defined(
            f'upstreams.{index}.service',
            [upstream[CONF_SERVICE]],
            services,
        )


def _check_defined(
    path: str,
    used: list[str],
    defined: set[str],
) -> Iterator[DocumentError]:
    for name in used:
        if name not in defined:
            yield DocumentError(path, f'{name} is not defined')
