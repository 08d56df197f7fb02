"""What the store remembers of each service, and how cells know it."""

from collections.abc import Callable, Collection
from typing import Final, NamedTuple

from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.store.recorded_names import Recorded

__all__ = ('CRASHING_REQUESTS', 'ENGINE_VERSIONS', 'RecordKind')


class RecordKind(NamedTuple):
    """Which names of each service a record holds.

    :param record_name: name of the record in the store.
    :param current: returns the names that a cell knows; `None`: nothing is to
        be recorded of its service yet.
    :param may_vouch: whether this process knows by itself that these are all
        names that matter.
    :param is_doubted: whether there may be a name that no owner knows.
    :param add_earlier: tells a cell which names were recorded before, and
        whether these are all.
    :param apply_recorded: tells a cell which names a reader of the record takes
        for all; `None`: none.
    :param confirm: tells a cell when the store was asked for a record that has
        all names, and told which.
    :param lacks_proof: whether a cell has not been told so since this process
        became the only owner.
    """

    record_name: str
    current: Callable[[EngineCell, float], Collection[str] | None]
    may_vouch: Callable[[EngineCell, float], bool]
    is_doubted: Callable[[EngineCell, float], bool]
    add_earlier: Callable[[EngineCell, Recorded, float], None]
    apply_recorded: Callable[[EngineCell, Collection[str] | None], None]
    confirm: Callable[[EngineCell, float], None]
    lacks_proof: Callable[[EngineCell, float], bool]


def _current_versions(cell: EngineCell, now: float) -> Collection[str] | None:
    return cell.origins.history.versions(now) or None


def _may_vouch(cell: EngineCell, now: float) -> bool:
    return cell.origins.history.may_vouch(now)


def _lacks_proof(cell: EngineCell, now: float) -> bool:
    return cell.origins.history.lacks_proof(now)


def _may_miss_a_version(cell: EngineCell, now: float) -> bool:
    return cell.origins.history.has_unlisted(now)


def _add_versions(cell: EngineCell, recorded: Recorded, now: float) -> None:
    history = cell.origins.history
    history.add_earlier(recorded.names, now, is_complete=recorded.is_complete)
    if recorded.is_doubted:
        history.record_unlisted(now)


def _apply_recorded_versions(
    cell: EngineCell, versions: Collection[str] | None
) -> None:
    cell.origins.history.apply_recorded(versions)


def _confirm_versions(cell: EngineCell, asked_ms: float) -> None:
    cell.origins.history.confirm_recorded(asked_ms)


def _crashing_requests(cell: EngineCell, now: float) -> Collection[str]:
    return cell.crash_tracker.confirmed(now)


def _add_crashing_requests(
    cell: EngineCell, recorded: Recorded, now: float
) -> None:
    for fingerprint in recorded.names:
        cell.crash_tracker.add_confirmed(fingerprint, now)


# Without them, a process that has lost its memory does not know whether a
# stream may go on at the version that is listed now.
ENGINE_VERSIONS: Final = RecordKind(
    'engine-versions',
    _current_versions,
    _may_vouch,
    _may_miss_a_version,
    _add_versions,
    _apply_recorded_versions,
    _confirm_versions,
    _lacks_proof,
)
# Without them, each would crash several engines again. That one is not recorded
# proves nothing.
CRASHING_REQUESTS: Final = RecordKind(
    'crashing-requests',
    _crashing_requests,
    lambda _cell, _now: False,
    lambda _cell, _now: False,
    _add_crashing_requests,
    lambda _cell, _names: None,
    lambda _cell, _asked_ms: None,
    lambda _cell, _now: False,
)
