"""A platform in memory, without a network, for property tests."""

from result import Err, Ok, Result

from hornbeamdeck.connection.platform import (
    PlatformDown,
    PlatformError,
    StoredObject,
    VersionConflict,
)

DOWN = 'down'
LOST = 'lost'


class FakePlatform:
    """Objects with conditional writes.

    While `fault` is set, calls fail before (`down`) or after (`lost`) they
    took effect; `coming` holds other faults for the very next calls.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.stored: dict[str, StoredObject] = {}
        self.version = 0
        self.fault = ''
        self.coming: list[str] = []

    async def async_get(
        self,
        key: str,
        *,
        role: str,
    ) -> Result[StoredObject | None, PlatformDown]:
        """Read an object."""
        fault = self._next_fault()
        if fault == DOWN:
            return Err(PlatformDown(role))
        return Ok(self.stored.get(key))

    async def async_put(
        self,
        key: str,
        body: str,
        *,
        expected: int | None,
        role: str,
        timeout_ms: int = 0,
    ) -> Result[int, PlatformError]:
        """Write an object on a condition."""
        fault = self._next_fault()
        if fault == DOWN:
            return Err(PlatformDown(role))
        if not self._holds(key, expected):
            return Err(VersionConflict())
        self.version += 1
        self.stored[key] = StoredObject(key, self.version, body)
        return self._answer(fault)

    async def async_delete(
        self,
        key: str,
        *,
        expected: int,
        role: str,
    ) -> Result[int, PlatformError]:
        """Delete an object on a condition."""
        fault = self._next_fault()
        if fault == DOWN:
            return Err(PlatformDown(role))
        if not self._holds(key, expected):
            return Err(VersionConflict())
        self.stored.pop(key)
        return self._answer(fault)

    def _next_fault(self) -> str:
        return self.coming.pop(0) if self.coming else self.fault

    def _holds(self, key: str, expected: int | None) -> bool:
        stored = self.stored.get(key)
        return expected == (stored.version if stored else None)

    def _answer(self, fault: str) -> Result[int, PlatformError]:
        if fault == LOST:
            return Err(PlatformDown('the answer was lost'))
        return Ok(self.version)
