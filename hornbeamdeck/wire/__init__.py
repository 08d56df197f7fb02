"""Messages between instances, generated from `peer.thrift`, and their codec."""

from hornbeamdeck.wire.codec import (
    MAX_FRAME_BYTES,
    MalformedFrame,
    Message,
    ToIngress,
    ToOwner,
    body_of,
    decode_frame,
    encode_frame,
)
from hornbeamdeck.wire.enums import RefusalReason, RunEnd
from hornbeamdeck.wire.gen.peer.ttypes import (
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
    Suspect,
    Withdraw,
)

__all__ = (
    'MAX_FRAME_BYTES',
    'Enqueue',
    'Envelope',
    'Grant',
    'Heartbeat',
    'Hello',
    'MalformedFrame',
    'Message',
    'Progress',
    'Proof',
    'RefusalReason',
    'Refuse',
    'Register',
    'Release',
    'RunEnd',
    'Suspect',
    'ToIngress',
    'ToOwner',
    'Withdraw',
    'body_of',
    'decode_frame',
    'encode_frame',
)
