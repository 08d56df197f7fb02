"""Room in the memory of engines, in tokens of prompts and output.

Load pattern: prompts of ten times the usual length arrive together. An engine
whose runs need more memory than it has interrupts the newest of them, and one
that holds more than its memory crashes. Slots alone do not bound that.
"""

from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.wire import Enqueue

__all__ = ('could_hold', 'has_room')


def has_room(load: EngineLoad, request: Enqueue) -> bool:
    """Return whether an engine's memory holds a request beside its runs.

    Parts of prompts that requests share count for each of them, so that less
    than the whole memory may be used.
    """
    memory_tokens = load.properties.memory_tokens
    if not memory_tokens:
        return True
    held_tokens = sum(
        run.prompt_tokens + run.output_tokens for run in load.runs.values()
    )
    return held_tokens + _tokens_of(request) <= memory_tokens


def could_hold(load: EngineLoad, request: Enqueue) -> bool:
    """Return whether an engine's memory holds a request at all."""
    memory_tokens = load.properties.memory_tokens
    return not memory_tokens or _tokens_of(request) <= memory_tokens


def _tokens_of(request: Enqueue) -> int:
    return int(request.prompt_tokens + request.output_tokens)
