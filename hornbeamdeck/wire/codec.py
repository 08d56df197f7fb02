"""Thrift binary encoding of an envelope in a length-prefixed frame."""

import struct
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple, TypeAlias

from result import Err, Ok, Result
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from hornbeamdeck.wire.gen.peer.ttypes import (
    AskSnapshot,
    Beat,
    EngineList,
    Enqueue,
    Envelope,
    Grant,
    Heartbeat,
    Hello,
    Progress,
    Proof,
    Refuse,
    Register,
    Release,
    Snapshot,
    Suspect,
    Withdraw,
)

__all__ = (
    'MAX_FRAME_BYTES',
    'MAX_HANDSHAKE_BYTES',
    'MalformedFrame',
    'Message',
    'ToIngress',
    'ToOwner',
    'body_of',
    'decode_frame',
    'encode_frame',
)

# A stranger may make this process hold so much before it has proved itself;
# a peer may send a configuration document.
MAX_HANDSHAKE_BYTES: Final = 4096
MAX_FRAME_BYTES: Final = 2_097_152
_READ_FAILURES: Final = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
    struct.error,
)
LENGTH: Final = struct.Struct('>I')

ToOwner: TypeAlias = (
    Enqueue | Withdraw | Register | Progress | Release | Suspect
)
ToIngress: TypeAlias = Grant | Refuse | Suspect
Message: TypeAlias = (
    ToOwner
    | ToIngress
    | Hello
    | Proof
    | Heartbeat
    | AskSnapshot
    | Snapshot
    | Beat
    | EngineList
)

_FIELDS: Final[Mapping[type, str]] = MappingProxyType(
    {
        Hello: 'hello',
        Proof: 'proof',
        Enqueue: 'enqueue',
        Grant: 'grant',
        Refuse: 'refuse',
        Withdraw: 'withdraw',
        Register: 'register_run',
        Progress: 'progress',
        Release: 'release',
        Heartbeat: 'heartbeat',
        Suspect: 'suspect',
        AskSnapshot: 'ask_snapshot',
        Snapshot: 'snapshot',
        Beat: 'beat',
        EngineList: 'engine_list',
    }
)


class MalformedFrame(NamedTuple):
    """Bytes from a peer that are no message."""

    cause: str


def encode_frame(
    message: Message,
    *,
    configuration_version: int = 0,
    clock_us: int = 0,
) -> bytes:
    """Write a message with its length before it."""
    envelope = Envelope(
        configuration_version=configuration_version,
        clock_us=clock_us,
    )
    setattr(envelope, _FIELDS[type(message)], message)
    buffer = TMemoryBuffer()
    envelope.write(TBinaryProtocolAccelerated(buffer))
    encoded: bytes = buffer.getvalue()
    return LENGTH.pack(len(encoded)) + encoded


def decode_frame(encoded: bytes) -> Result[Envelope, MalformedFrame]:
    """Read an envelope from a frame's bytes without the length.

    A peer of another version, or no peer at all, sends what the generated
    reader fails on in many ways; each must cost that peer its connection
    and this process nothing.
    """
    envelope = Envelope()
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(encoded),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_FRAME_BYTES,
    )
    try:
        envelope.read(protocol)
        envelope.validate()
        body_of(envelope).validate()
    except _READ_FAILURES as error:
        return Err(MalformedFrame(repr(error)))
    return Ok(envelope)


def body_of(envelope: Envelope) -> Message:
    """Take the message out of its envelope.

    :raises ValueError: where there is none.
    """
    for field in _FIELDS.values():
        message = getattr(envelope, field)
        if message is not None:
            return message
    raise ValueError('an envelope without a message')
