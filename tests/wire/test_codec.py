"""Frames between instances."""

import struct
from copy import deepcopy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.wire import (
    EngineEntry,
    EngineList,
    Enqueue,
    Progress,
    Release,
    RunEnd,
    StreamOrigin,
    StreamOrigins,
    decode_frame,
    encode_frame,
    message_of,
)
from hornbeamdeck.wire.codec import LENGTH_PREFIX

NUMBERS = st.integers(min_value=0, max_value=2**31 - 1)


@given(st.text(max_size=40), NUMBERS, NUMBERS)
def test_message_survives_encoding_and_decoding(
    name: str, tokens: int, version: int
) -> None:
    sent = Enqueue(
        request_id=name,
        cell='desk',
        team='guides',
        tier_rank=0,
        deadline_ms=tokens,
        prompt_tokens=tokens,
        output_tokens=1,
        excluded=[name],
        fingerprint=name,
    )
    frame = encode_frame(sent, configuration_version=version)
    envelope = decode_frame(frame[LENGTH_PREFIX.size :]).unwrap()
    assert message_of(envelope) == sent
    assert envelope.configuration_version == version


@pytest.mark.parametrize('is_certain', [True, False, None])
def test_evidence_survives_encoding_and_decoding(
    *, is_certain: bool | None
) -> None:
    """Guards against a field that only one of the two codecs knows."""
    sent = Progress(
        request_id='r1',
        cell='desk',
        first_token_ms=5,
        is_certain=is_certain,
        upstream='e1',
        version='v1',
        born_ms=2**40,
    )
    frame = encode_frame(sent)
    envelope = decode_frame(frame[LENGTH_PREFIX.size :]).unwrap()
    assert message_of(envelope) == sent


@given(st.integers(min_value=0, max_value=2**63 - 1), st.booleans())
def test_origins_survive_encoding_and_decoding(
    born_ms: int,
    is_certain: bool,  # noqa: FBT001
) -> None:
    origin = StreamOrigin(
        request_id='r1',
        team='guides',
        upstream='e1',
        attempt=0,
        left_ms=9000,
        born_ms=born_ms,
        begun_age_ms=3,
        is_certain=is_certain,
    )
    sent = StreamOrigins(cell='desk', origins=[origin])
    frame = encode_frame(sent, configuration_version=1)
    envelope = decode_frame(frame[LENGTH_PREFIX.size :]).unwrap()
    assert message_of(envelope) == sent


@given(st.binary(max_size=200))
def test_undecodable_bytes_are_an_error_value(garbage: bytes) -> None:
    """Guards against an exception for bytes that are no message, as a peer of
    another version or a port scanner sends them. It could end a task that
    other connections depend on.
    """
    assert decode_frame(garbage).is_err()


@given(drawn=st.data())
def test_damaged_frames_never_raise(drawn: st.DataObject) -> None:
    """Guards against exceptions and incomplete messages from a frame that was
    truncated or changed in transit.
    """
    sent = Release(
        request_id='r1',
        cell='desk',
        end=RunEnd.ANSWERED,
        total_ms=12,
    )
    frame = bytearray(encode_frame(sent)[LENGTH_PREFIX.size :])
    position = drawn.draw(st.integers(0, len(frame) - 1))
    frame[position] = drawn.draw(st.integers(0, 255))
    cut = drawn.draw(st.integers(0, len(frame)))
    decoded = decode_frame(bytes(frame[:cut]))
    if decoded.is_ok():
        message_of(decoded.unwrap()).validate()


def test_length_field_is_four_bytes() -> None:
    assert LENGTH_PREFIX.size == struct.calcsize('>I')


_ORIGIN = StreamOrigin(
    request_id='r1', team='t', upstream='e1', attempt=0, left_ms=1
)
_ENTRY = EngineEntry(
    name='e1',
    cell='desk',
    address='127.0.0.1:1',
    zone='z1',
    slots=4,
    is_leaving=False,
    born_ms=1,
    slowness=1.0,
)


@pytest.mark.parametrize('field', ['upstream', 'attempt', 'left_ms'])
def test_origin_without_a_required_field_is_malformed(field: str) -> None:
    """Guards against an owner that fails on what a peer lists."""
    origin = deepcopy(_ORIGIN)
    setattr(origin, field, None)
    frame = encode_frame(StreamOrigins(cell='desk', origins=[origin]))
    assert decode_frame(frame[LENGTH_PREFIX.size :]).is_err()


@pytest.mark.parametrize('field', ['name', 'address', 'zone', 'slots'])
def test_engine_without_a_required_field_is_malformed(field: str) -> None:
    """Guards against an instance that fails on what a peer lists."""
    entry = deepcopy(_ENTRY)
    setattr(entry, field, None)
    frame = encode_frame(EngineList(version=1, engines=[_ENTRY, entry]))
    assert decode_frame(frame[LENGTH_PREFIX.size :]).is_err()
