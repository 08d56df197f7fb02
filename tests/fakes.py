"""In-memory object store without a network, for property tests."""

from result import Err, Ok, Result

from hornbeamdeck.connection.store_client import (
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
)

FAULT_DOWN = 'down'
FAULT_LOST_RESPONSE = 'lost'


class FakePlatform:
    """The platform's object store with conditional writes and simulated faults.

    While `fault` is set, calls fail before (`down`) or after (`lost`) they take
    effect. Faults in `next_faults` apply to the next calls, one for each, and
    take precedence over `fault`.
    """

    def __init__(self) -> None:
        """Create a store without objects or faults."""
        self.stored: dict[str, StoredObject] = {}
        self.version = 0
        self.era = 0
        self.fault = ''
        self.next_faults: list[str] = []

    async def async_get(
        self,
        key: str,
        *,
        role: str,
    ) -> Result[StoredObject | None, StoreUnavailable]:
        """Read an object."""
        fault = self._next_fault()
        if fault == FAULT_DOWN:
            return Err(StoreUnavailable(role))
        return Ok(self.stored.get(key))

    async def async_put(
        self,
        key: str,
        body: str,
        *,
        expected: int | None,
        role: str,
        timeout_ms: int = 0,
    ) -> Result[int, StoreError]:
        """Write an object if its current version is the expected one.

        :param expected: the expected version; `None` if there must be no
            object.
        """
        fault = self._next_fault()
        if fault == FAULT_DOWN:
            return Err(StoreUnavailable(role))
        if not self._meets_condition(key, expected):
            return Err(VersionConflict())
        self.version += 1
        self.stored[key] = StoredObject(key, self.version, body)
        return self._write_result(fault)

    async def async_delete(
        self,
        key: str,
        *,
        expected: int,
        role: str,
    ) -> Result[int, StoreError]:
        """Delete an object if its current version is the expected one."""
        fault = self._next_fault()
        if fault == FAULT_DOWN:
            return Err(StoreUnavailable(role))
        if not self._meets_condition(key, expected):
            return Err(VersionConflict())
        self.stored.pop(key)
        return self._write_result(fault)

    def _next_fault(self) -> str:
        return self.next_faults.pop(0) if self.next_faults else self.fault

    def _meets_condition(self, key: str, expected: int | None) -> bool:
        stored = self.stored.get(key)
        return expected == (stored.version if stored else None)

    def _write_result(self, fault: str) -> Result[int, StoreError]:
        if fault == FAULT_LOST_RESPONSE:
            return Err(StoreUnavailable('the response was lost'))
        return Ok(self.version)
