"""Thrift binary encoding of envelopes in length-prefixed frames."""

import struct
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple, TypeAlias

from result import Err, Ok, Result
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from hornbeamdeck.wire.gen.peer.ttypes import (
    AskSnapshot,
    Beat,
    EngineList,
    EngineObservation,
    Enqueue,
    Envelope,
    Grant,
    Heartbeat,
    Hello,
    OpenTunnel,
    Progress,
    Proof,
    RecordCopy,
    Refuse,
    Register,
    RelayedStatement,
    Release,
    Snapshot,
    StreamOrigins,
    Suspect,
    TunnelAnswer,
    UpstreamEnd,
    Withdraw,
)

__all__ = (
    'CODEC_ERRORS',
    'MAX_FRAME_BYTES',
    'MAX_HANDSHAKE_BYTES',
    'MalformedFrame',
    'Message',
    'ToIngress',
    'ToOwner',
    'message_of',
    'decode_frame',
    'encode_frame',
)

# Bounds the memory that a peer can occupy before it is authenticated.
MAX_HANDSHAKE_BYTES: Final = 4096
# An authenticated peer may send a complete configuration document.
MAX_FRAME_BYTES: Final = 2_097_152
# What the generated code raises for values and bytes that have no other form.
CODEC_ERRORS: Final = (
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
LENGTH_PREFIX: Final = struct.Struct('>I')

ToOwner: TypeAlias = (
    Enqueue
    | Withdraw
    | Register
    | Progress
    | Release
    | EngineObservation
    | StreamOrigins
    | UpstreamEnd
    | Suspect
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
    | OpenTunnel
    | TunnelAnswer
    | RelayedStatement
    | RecordCopy
)

_ENVELOPE_FIELDS: Final[Mapping[type, str]] = MappingProxyType(
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
        EngineObservation: 'engine_observation',
        Suspect: 'suspect',
        AskSnapshot: 'ask_snapshot',
        Snapshot: 'snapshot',
        Beat: 'beat',
        EngineList: 'engine_list',
        OpenTunnel: 'open_tunnel',
        TunnelAnswer: 'tunnel_answer',
        RelayedStatement: 'relayed_statement',
        StreamOrigins: 'stream_origins',
        UpstreamEnd: 'upstream_end',
        RecordCopy: 'record_copy',
    }
)


class MalformedFrame(NamedTuple):
    """Bytes from a peer that can't be decoded."""

    cause: str


def encode_frame(
    message: Message,
    *,
    configuration_version: int = 0,
    clock_us: int = 0,
) -> bytes:
    """Encode a message in an envelope, with the length in front.

    :param configuration_version: in force at the sender.
    :param clock_us: stamp of the sender's hybrid clock, microseconds.
    :raises Exception: one of `CODEC_ERRORS`, if a value can't be sent.
    """
    envelope = Envelope(
        configuration_version=configuration_version,
        clock_us=clock_us,
    )
    setattr(envelope, _ENVELOPE_FIELDS[type(message)], message)
    buffer = TMemoryBuffer()
    envelope.write(TBinaryProtocolAccelerated(buffer))
    encoded: bytes = buffer.getvalue()
    return LENGTH_PREFIX.pack(len(encoded)) + encoded


def decode_frame(encoded: bytes) -> Result[Envelope, MalformedFrame]:
    """Decode an envelope from a frame without its length.

    Bytes from a peer of another version, or from a sender that is not a peer,
    make the generated code raise many kinds of exception. Each becomes an
    error value, so that only the connection to that sender ends.
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
        _validate(message_of(envelope))
    except CODEC_ERRORS as error:
        return Err(MalformedFrame(repr(error)))
    return Ok(envelope)


def message_of(envelope: Envelope) -> Message:
    """Return the message in an envelope.

    :raises ValueError: if there is none.
    """
    for field in _ENVELOPE_FIELDS.values():
        message = getattr(envelope, field)
        if message is not None:
            return message
    raise ValueError('envelope without a message')


def _validate(message: Any) -> None:
    """Check that a message, and all that it lists, has the required fields."""
    message.validate()
    for field in message.__slots__:
        listed = getattr(message, field)
        if isinstance(listed, list):
            for each in filter(_is_struct, listed):
                _validate(each)


def _is_struct(found: Any) -> bool:
    return hasattr(found, 'validate')
