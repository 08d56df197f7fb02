"""Answers an admitted gateway request, however its run ends."""

from curio.errors import TaskTimeout

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.server import (
    ServerConnection,
    confirm_delivered,
)
from hornbeamdeck.request.gateway_admission import GatewayAdmission
from hornbeamdeck.request.gateway_context import GatewayContext
from hornbeamdeck.request.gateway_run import GatewayRun
from hornbeamdeck.request.outcome import Failure
from hornbeamdeck.request.response_delivery import open_delivery

__all__ = ('async_run_gateway_request',)


async def async_run_gateway_request(
    context: GatewayContext,
    admission: GatewayAdmission,
    caller: ServerConnection,
) -> None:
    """Answer a request.

    However it ends, the caller gets exactly one final response, or its
    connection is broken.
    """
    async with open_delivery(context.spools, admission, caller) as delivery:
        run = GatewayRun(context, admission, caller, delivery)
        try:
            failure = await _async_run_in_time(run, admission, caller)
            if failure is None:
                failure = await delivery.async_complete()
            else:
                await delivery.async_break_off()
        except BaseException:
            if context.shutdown.has_ended:
                run.log('request cut off', code='cut_off')
            else:
                run.log('caller left', code=delivery.left_code)
            raise
        if failure is None:
            confirm_delivered(caller)
            run.log('request answered')
        else:
            await run.async_fail(failure)
            if await delivery.async_complete() is not None:
                caller.reset_on_close()


async def _async_run_in_time(
    run: GatewayRun, admission: GatewayAdmission, caller: ServerConnection
) -> Failure | None:
    try:
        return await async_with_timeout(admission.left_ms, run.async_run())
    except TaskTimeout:
        # The deadline may pass just after the end of the response was written.
        return None if caller.is_response_complete else run.timeout_failure()
