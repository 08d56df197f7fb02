"""Coordination classes for other programs; none needs a running instance.

`docs/coordination.md` describes each; `examples/` holds programs.
"""

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.store_client import PlatformClient, StoredObject
from hornbeamdeck.hybrid_clock import HybridClock
from hornbeamdeck.membership.rendezvous import owner_of, ranking
from hornbeamdeck.process.background import Background
from hornbeamdeck.request.claim import Claims
from hornbeamdeck.request.claim_record import ClaimCall
from hornbeamdeck.request.execution_right import Once, Recorded
from hornbeamdeck.store.follower import (
    ConfigurationFollower,
    async_follow,
)
from hornbeamdeck.store.lease import Lease, LeaseTerms

__all__ = (
    'Address',
    'Background',
    'ClaimCall',
    'Claims',
    'ConfigurationFollower',
    'HybridClock',
    'Lease',
    'LeaseTerms',
    'Once',
    'PlatformClient',
    'Recorded',
    'StoredObject',
    'async_follow',
    'owner_of',
    'ranking',
)
