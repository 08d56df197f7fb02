"""Instances that follow a store which comes back from older copies."""

from typing import Any, Final, NamedTuple, TypeAlias
from unittest import mock

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from result import Err, Ok, Result

from hornbeamdeck.connection.store_client import (
    StoredObject,
    StoreUnavailable,
    WatchGap,
)
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.const import KEY_CONFIGURATION
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.follower import ConfigurationFollower, DocumentSource
from hornbeamdeck.store.freshness import Freshness
from hornbeamdeck.store.store_engine_list import (
    GONE_RETENTION_MS,
    RETENTION_MS,
)
from hornbeamdeck.store.store_interface import (
    ConfigurationRead,
    EngineChange,
    EnginesRead,
    StoreInterface,
)
from hornbeamdeck.store.store_reader import (
    StoreReader,
    StoreReaderDependencies,
)

INSTANCES = 2
NUMBERS = st.integers(0, INSTANCES - 1)
# An instance that does not read after a change.
LAGGING = st.sampled_from([None, None, *range(INSTANCES)])
NAME = 'e1'
CLOCKS = tuple(
    f'hornbeamdeck.store.{module}.now_ms'
    for module in ('store_reader', 'engine_directory')
)
STEP_MS = 100.0
_UNUSED: Final[Any] = None
_Fetched: TypeAlias = Result[StoredObject | None, StoreUnavailable]


class _Document(NamedTuple):
    version: int
    document: str


class _Copy(NamedTuple):
    number: int
    version: int
    engines: dict[str, Engine]
    changed: dict[str, int]


def _engine(name: str, born_ms: int) -> Engine:
    return Engine(name, 'desk', '127.0.0.1:1', 'z1', 4, False, born_ms)


class _Store:
    """What the store holds, and the calls that read it."""

    def __init__(self) -> None:
        self.era = 1
        self.number = 1
        self.version = 1
        self.engines: dict[str, Engine] = {}
        # The number of each engine's last change, also of removed ones.
        self.changed: dict[str, int] = {}

    def copy(self) -> _Copy:
        return _Copy(
            self.number, self.version, {**self.engines}, {**self.changed}
        )

    def restore(self, copied: _Copy) -> None:
        self.era += 1
        self.number = copied.number
        self.version = copied.version
        self.engines = {**copied.engines}
        self.changed = {**copied.changed}

    def write_version(self, version: int) -> None:
        if version > self.version:
            self.number += 1
            self.version = version

    def write_engine(self, name: str, engine: Engine | None) -> None:
        if self.engines.get(name) == engine:
            return
        self.number += 1
        self.changed[name] = self.number
        self.engines.pop(name, None)
        if engine is not None:
            self.engines[name] = engine

    @property
    def revision(self) -> StoreRevision:
        return StoreRevision(self.era, self.number)

    async def async_read(self) -> Result[ConfigurationRead, StoreUnavailable]:
        return Ok(ConfigurationRead(self.revision, self.version, 'text'))

    async def async_list(self) -> Result[EnginesRead, StoreUnavailable]:
        changes = [
            EngineChange(name, engine) for name, engine in self.engines.items()
        ]
        return Ok(EnginesRead(self.revision, tuple(changes)))

    async def async_watch(
        self, since: StoreRevision, _wait_ms: int
    ) -> Result[EnginesRead, StoreUnavailable | WatchGap]:
        if since.era != self.era:
            return Err(WatchGap())
        changes = [
            EngineChange(name, self.engines.get(name))
            for name, number in self.changed.items()
            if number > since.number
        ]
        return Ok(EnginesRead(self.revision, tuple(changes)))


async def _async_ignore(_document: _Document) -> None:
    """Do nothing."""


async def _async_fetch_nothing() -> Result[
    StoredObject | None, StoreUnavailable
]:
    return Ok(None)


class _Instance:
    """One instance, with what it has seen of engines that leave."""

    def __init__(self, store: _Store) -> None:
        self.follower = ConfigurationFollower(
            DocumentSource(
                empty=_Document(0, ''),
                parse=lambda text, version: Ok(_Document(version, text)),
                fetch=_async_fetch_nothing,
                on_applied=_async_ignore,
            )
        )
        self.directory = EngineDirectory()
        self.since: StoreRevision | None = None
        self.left: set[tuple[str, int]] = set()
        interface = StoreInterface(
            read_configuration=store.async_read,
            watch_configuration=_UNUSED,
            list_engines=store.async_list,
            watch_engines=store.async_watch,
            list_instances=_UNUSED,
            write_status=_UNUSED,
            delete_status=_UNUSED,
            write_record=_UNUSED,
            read_record=_UNUSED,
            list_records=_UNUSED,
        )
        self.reader = StoreReader(
            StoreReaderDependencies(
                store=interface,
                freshness=Freshness(),
                directory=self.directory,
                rank=int,
                is_owner=lambda: True,
                has_owner_lost_store=bool,
                configuration_version=lambda: self.version,
                on_document=self.follower.async_note,
                on_engines_changed=lambda: None,
            )
        )

    @property
    def version(self) -> int:
        return self.follower.configuration.version

    async def async_read_engines(self, *, is_complete: bool) -> None:
        since = None if is_complete else self.since
        self.since = await self.reader._async_read_engines(since)

    async def async_receive(self, peer: '_Instance') -> None:
        """Apply what a peer sends with its heartbeats."""
        version = peer.version
        if version:
            document = StoredObject(KEY_CONFIGURATION, version, 'text')
            await self.follower.async_note(document)
        if peer.directory.is_read:
            self.directory.update_from_wire(peer.directory.to_wire({}))


class RestoredStore(RuleBasedStateMachine):
    """An operator, engines that come and go, and a store that loses writes."""

    def __init__(self) -> None:
        super().__init__()
        self.store = _Store()
        # What the operator and the engines know to be true.
        self.version = 1
        self.engines: dict[str, Engine] = {}
        self.born_ms = 0
        self.now_ms = 1e6
        self.copies: list[_Copy] = []
        self.instances = [_Instance(self.store) for _ in range(INSTANCES)]
        self.versions = [0 for _ in range(INSTANCES)]
        self.clocks = [mock.patch(clock, self._read_clock) for clock in CLOCKS]
        for clock in self.clocks:
            clock.start()

    def teardown(self) -> None:
        """All agree with the truth once it was written and read again."""
        try:
            self._write_all_again()
            for _ in range(2):
                for instance in self.instances:
                    curio.run(self._async_read, instance)
                self.now_ms += max(RETENTION_MS, GONE_RETENTION_MS) + STEP_MS
            for instance in self.instances:
                assert instance.version == self.version
                assert dict(instance.directory.engines) == self.engines
        finally:
            for clock in self.clocks:
                clock.stop()

    @rule(lagging=LAGGING)
    def configure(self, lagging: int | None) -> None:
        self.copies.append(self.store.copy())
        self.version += 2
        self.store.write_version(self.version)
        self.read(lagging)

    @rule(is_announced=st.booleans(), lagging=LAGGING)
    def go_on_with_engine(
        self, is_announced: bool, lagging: int | None
    ) -> None:
        """Start the engine, or let it leave or end."""
        engine = self.engines.get(NAME)
        if engine is None:
            self.born_ms += 1
            self._write_engine(_engine(NAME, self.born_ms))
        elif is_announced and not engine.is_draining:
            self._write_engine(engine._replace(is_draining=True))
        else:
            self._write_engine(None)
        self.read(lagging)

    @precondition(lambda self: self.copies)
    @rule(drawn=st.data(), lagging=LAGGING)
    def restore(self, drawn: st.DataObject, lagging: int | None) -> None:
        copied = drawn.draw(st.sampled_from(self.copies[-2:]))
        self.store.restore(copied)
        # Later copies are of a history that is gone.
        self.copies = self.copies[: self.copies.index(copied) + 1]
        self.read(lagging)

    @rule()
    def write_again(self) -> None:
        self._write_all_again()

    @rule(lagging=LAGGING)
    def read(self, lagging: int | None) -> None:
        self.now_ms += STEP_MS
        for number, instance in enumerate(self.instances):
            if number != lagging:
                curio.run(self._async_read, instance)

    @rule(number=NUMBERS)
    def lose_watch(self, number: int) -> None:
        self.instances[number].since = None

    @rule(receiver=NUMBERS, sender=NUMBERS)
    def gossip(self, receiver: int, sender: int) -> None:
        curio.run(
            self.instances[receiver].async_receive, self.instances[sender]
        )

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        self.instances[number] = _Instance(self.store)
        self.versions[number] = 0

    @invariant()
    def configuration_never_goes_back(self) -> None:
        for number, instance in enumerate(self.instances):
            assert instance.version >= self.versions[number]
            self.versions[number] = instance.version

    @invariant()
    def engine_that_left_is_never_ready_again(self) -> None:
        for instance in self.instances:
            for engine in instance.directory.engines.values():
                incarnation = (engine.name, engine.born_ms)
                if engine.is_draining:
                    instance.left.add(incarnation)
                else:
                    assert incarnation not in instance.left

    def _read_clock(self) -> float:
        return self.now_ms

    def _write_engine(self, engine: Engine | None) -> None:
        self.copies.append(self.store.copy())
        self.engines = {} if engine is None else {NAME: engine}
        self.store.write_engine(NAME, engine)

    def _write_all_again(self) -> None:
        self.store.write_version(self.version)
        self.store.write_engine(NAME, self.engines.get(NAME))

    async def _async_read(self, instance: _Instance) -> None:
        await instance.reader.async_read_configuration()
        await instance.async_read_engines(is_complete=False)
        if instance.since is None:
            await instance.async_read_engines(is_complete=True)


TestRestoredStore = RestoredStore.TestCase
TestRestoredStore.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


def test_retained_engine_that_left_is_not_listed_ready_again() -> None:
    """Guards against a notice received from a peer that is lost on a read."""
    state = RestoredStore()
    state.go_on_with_engine(is_announced=False, lagging=None)
    state.store.restore(state.copies[0])
    state.read(lagging=None)
    state.go_on_with_engine(is_announced=True, lagging=1)
    state.gossip(receiver=1, sender=0)
    state.engine_that_left_is_never_ready_again()
    state.go_on_with_engine(is_announced=False, lagging=None)
    state.engine_that_left_is_never_ready_again()
    state.teardown()


def test_notice_is_kept_when_a_peer_sends_the_list_of_a_copy() -> None:
    """Guards against a peer of the next era that makes the engine ready."""
    state = RestoredStore()
    state.go_on_with_engine(is_announced=False, lagging=None)
    state.go_on_with_engine(is_announced=True, lagging=1)
    state.engine_that_left_is_never_ready_again()
    state.store.restore(state.copies[-1])
    state.read(lagging=0)
    state.gossip(receiver=0, sender=1)
    state.engine_that_left_is_never_ready_again()
    state.teardown()
