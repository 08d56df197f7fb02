"""Replays a load while owners follow one another."""

from typing import Any

from bench.replay import Replay, make_cell
from bench.replay_load import LoadPlan
from bench.replay_statements import MS_PER_S
from hornbeamdeck.wire import Register

__all__ = ('OwnersReplay',)


class OwnersReplay(Replay):
    """A replay in which another instance becomes the owner at some times."""

    def __init__(
        self, plan: LoadPlan, seed: int, changes_s: tuple[float, ...] = ()
    ) -> None:
        """Set up the replay without running it."""
        super().__init__(plan, seed)
        for change_s in changes_s:
            self._schedule(change_s * MS_PER_S, self._change_owner)

    def _change_owner(self) -> None:
        """Continue with a cell that is told of all runs and waiting requests.

        The next owner learns the slowness of the engines with their list.
        """
        slowness = {
            name: load.slowness for name, load in self._cell.loads.items()
        }
        self._cell = make_cell(self._plan, self._instances, slowness, self.now)
        attempts = list(self._attempts.values())
        for attempt in attempts:
            if attempt.engine:
                self._cell.register(_to_register(attempt), attempt.instance)
        for waiting in attempts:
            if not waiting.engine and waiting.request_id in self._attempts:
                self._enqueue(waiting, is_moved=True)


def _to_register(attempt: Any) -> Register:
    """Tell the next owner of a run that its predecessor granted."""
    arrival = attempt.arrival
    return Register(
        request_id=attempt.request_id,
        cell='desk',
        upstream=attempt.engine,
        prompt_tokens=arrival.prompt_tokens,
        output_tokens=arrival.hint_tokens,
        is_prefilling=not attempt.first_token_ms,
        fingerprint=arrival.request_id,
    )
