"""Client of the platform's store, with the scheduler's own types."""

import json
from typing import Any
from urllib.parse import quote

from result import Err, Ok, Result

from hornbeamdeck.connection.json_calls import check_written
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.membership.membership import InstanceStatus
from hornbeamdeck.platform.documents import configuration_version, parse_engine
from hornbeamdeck.platform.object_calls import ObjectCalls
from hornbeamdeck.platform.wire_names import (
    KIND_CONFIGURATION,
    KIND_ENGINES,
    KIND_INSTANCES,
    KIND_RECORDS,
    NAME_CONFIGURATION,
    PATH_OBJECTS,
)
from hornbeamdeck.store.store_interface import (
    ConfigurationRead,
    EngineChange,
    EnginesRead,
    StoredRecord,
    StoreInterface,
)
from hornbeamdeck.store.stored_documents import (
    FIELD_SPEC,
    to_configuration,
    to_record,
    to_records,
    to_status,
    to_statuses,
)
from hornbeamdeck.store.stored_objects import object_name

__all__ = ('open_store',)


class _Store:
    """Calls to the store.

    Every failure counts as an outage and is returned as `StoreUnavailable`.
    Only a watch from a revision that is too old returns `WatchGap`.
    """

    def __init__(self, calls: ObjectCalls) -> None:
        self._calls = calls

    async def async_read_configuration(
        self,
    ) -> Result[ConfigurationRead, StoreUnavailable]:
        """Read the current configuration."""
        path = f'{PATH_OBJECTS}/{KIND_CONFIGURATION}/{NAME_CONFIGURATION}'
        read = await self._calls.async_read(path, {}, role='configuration')
        return read.and_then(
            lambda each: to_configuration(
                each.found, each.era, configuration_version
            )
        )

    async def async_watch_configuration(
        self,
        since: StoreRevision,
        wait_ms: int,
    ) -> Result[ConfigurationRead, StoreUnavailable | WatchGap]:
        """Wait for a newer configuration.

        :param since: the revision that the caller has read.
        :returns: a read without a document if none came within `wait_ms`.
        """
        watched = await self._calls.async_watch(
            KIND_CONFIGURATION, since, wait_ms
        )
        if isinstance(watched, Err):
            return watched
        found = [
            event['object']
            for event in watched.ok_value['events']
            if not event['removed']
            and object_name(event['object']) == NAME_CONFIGURATION
        ]
        if not found:
            return Ok(ConfigurationRead(since, 0, None))
        return to_configuration(found[-1], since.era, configuration_version)

    async def async_list_engines(
        self,
    ) -> Result[EnginesRead, StoreUnavailable]:
        """Read the entries of all engines."""
        listed = await self._calls.async_list(KIND_ENGINES)
        if isinstance(listed, Err):
            return listed
        changes = tuple(map(self._to_change, listed.ok_value.entries))
        return Ok(EnginesRead(listed.ok_value.revision, changes))

    async def async_watch_engines(
        self,
        since: StoreRevision,
        wait_ms: int,
    ) -> Result[EnginesRead, StoreUnavailable | WatchGap]:
        """Wait for changed or removed entries of engines."""
        watched = await self._calls.async_watch(KIND_ENGINES, since, wait_ms)
        if isinstance(watched, Err):
            return watched
        changes = [
            EngineChange(object_name(event['object']), None)
            if event['removed']
            else self._to_change(event['object'])
            for event in watched.ok_value['events']
        ]
        revision = StoreRevision(since.era, watched.ok_value['at'])
        return Ok(EnginesRead(revision, tuple(changes)))

    async def async_list_instances(
        self,
    ) -> Result[tuple[InstanceStatus, ...], StoreUnavailable]:
        """Read the published statuses of all instances."""
        listed = await self._calls.async_list(KIND_INSTANCES)
        return listed.map(
            lambda found: to_statuses(found.entries, self._calls.unusable)
        )

    async def async_write_status(
        self,
        status: InstanceStatus,
    ) -> Result[int, StoreUnavailable]:
        """Write the own status and replace that of an earlier incarnation."""
        body = {
            'metadata': {'name': status.instance_id},
            FIELD_SPEC: json.loads(status.to_text()),
        }
        path = f'{PATH_OBJECTS}/{KIND_INSTANCES}'
        created = await self._calls.async_write_on_condition(
            'POST', path, body, revision=None, role=KIND_INSTANCES
        )
        if isinstance(created, Err):
            return created
        if to_status(created.ok_value.found).ok() == status:
            return Ok(created.ok_value.era)
        own_path = f'{path}/{quote(status.instance_id)}'
        replaced = await self._calls.async_write(
            'PUT', own_path, body, role=KIND_INSTANCES
        )
        return replaced.and_then(check_written).map(self._calls.era_of)

    async def async_delete_status(
        self,
        status: InstanceStatus,
    ) -> Result[None, StoreUnavailable]:
        """Delete the own status."""
        path = f'{PATH_OBJECTS}/{KIND_INSTANCES}/{quote(status.instance_id)}'
        deleted = await self._calls.async_write(
            'DELETE', path, None, role=KIND_INSTANCES
        )
        return deleted.and_then(check_written).map(lambda _: None)

    async def async_write_record(
        self, name: str, record: StoredRecord
    ) -> Result[StoredRecord, StoreUnavailable]:
        """Create a record, or replace the revision that is known here."""
        path = f'{PATH_OBJECTS}/{KIND_RECORDS}'
        metadata: dict[str, Any] = {'name': name}
        method = 'POST'
        if record.revision is not None:
            method, path = 'PUT', f'{path}/{quote(name)}'
            metadata['revision'] = record.revision.number
        written = await self._calls.async_write_on_condition(
            method,
            path,
            {'metadata': metadata, FIELD_SPEC: record.fields},
            revision=record.revision,
            role=KIND_RECORDS,
        )
        return written.and_then(to_record)

    async def async_read_record(
        self, name: str
    ) -> Result[StoredRecord, StoreUnavailable]:
        """Read one record."""
        path = f'{PATH_OBJECTS}/{KIND_RECORDS}/{quote(name)}'
        read = await self._calls.async_read(path, {}, role=KIND_RECORDS)
        return read.and_then(to_record)

    async def async_list_records(
        self,
    ) -> Result[dict[str, StoredRecord], StoreUnavailable]:
        """Read all records."""
        listed = await self._calls.async_list(KIND_RECORDS)
        return listed.map(
            lambda found: to_records(
                found.entries, found.revision.era, self._calls.unusable
            )
        )

    def _to_change(self, stored: Any) -> EngineChange:
        name = object_name(stored)
        spec = stored.get(FIELD_SPEC)
        if isinstance(spec, dict) and 'born' not in spec and 'born' in stored:
            spec = {**spec, 'born': stored['born']}
        parsed = parse_engine(name, spec)
        if isinstance(parsed, Err):
            self._calls.unusable.record(KIND_ENGINES, stored, parsed.err_value)
        return EngineChange(name, parsed.ok())


def open_store(calls: StoreCalls) -> StoreInterface:
    """Create the calls to a store."""
    store = _Store(ObjectCalls(calls))
    return StoreInterface(
        read_configuration=store.async_read_configuration,
        watch_configuration=store.async_watch_configuration,
        list_engines=store.async_list_engines,
        watch_engines=store.async_watch_engines,
        list_instances=store.async_list_instances,
        write_status=store.async_write_status,
        delete_status=store.async_delete_status,
        write_record=store.async_write_record,
        read_record=store.async_read_record,
        list_records=store.async_list_records,
    )
