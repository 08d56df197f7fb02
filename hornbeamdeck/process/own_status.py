"""The status that a new process publishes of itself."""

import uuid

from hornbeamdeck.membership.membership import STATE_LIVE, InstanceStatus
from hornbeamdeck.process.gateway_settings import GatewaySettings

__all__ = ('make_own_status',)


def make_own_status(settings: GatewaySettings) -> InstanceStatus:
    """Make the status of a new incarnation."""
    return InstanceStatus(
        instance_id=settings.instance_id,
        address=settings.address,
        peer_address=settings.peer_address,
        availability_zone=settings.availability_zone,
        incarnation=uuid.uuid4().hex,
        state=STATE_LIVE,
        cores=settings.cores,
    )
