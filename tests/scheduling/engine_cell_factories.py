"""Factories for tests of engine cells."""

from collections.abc import Callable

from hornbeamdeck.ownership.spending import (
    SLICES_PER_WINDOW,
    SpendingReports,
)
from hornbeamdeck.scheduling.admission_control import SharedState
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.engine_conditions import EngineCondition
from hornbeamdeck.scheduling.engine_load import EngineLoad, ServiceEstimates
from hornbeamdeck.scheduling.request_rate import RateRules
from hornbeamdeck.scheduling.retry_budget import RetryBudget, RetryRules
from hornbeamdeck.scheduling.stream_origins import IsCertain
from hornbeamdeck.scheduling.token_quota import (
    QuotaRules,
    QuotaView,
    TokenQuotas,
)
from hornbeamdeck.version.gateway import EngineProperties, GatewayTeam
from hornbeamdeck.wire import Enqueue, Message

MODEL = EngineProperties(slots=4, tokens_per_event=6, memory_tokens=600_000)
PLAIN = EngineProperties(slots=0, tokens_per_event=0, memory_tokens=0)


def always_certain(_engine: str, _born_ms: int, _at_ms: float) -> bool:
    """Answer as where engines never start again under their names."""
    return True


async def async_discard(_message: Message) -> None:
    """Discard a message."""


def engine(
    name: str, *, slots: int = 2, zone: str = 'z1', **changes: object
) -> Engine:
    """Create an engine of the service `desk`."""
    made = Engine(
        name=name,
        service='desk',
        address='10.0.0.1:80',
        availability_zone=zone,
        slots=slots,
        is_draining=False,
        born_ms=1,
    )
    return made._replace(**changes)  # type: ignore[arg-type]


def make_load(of: Engine) -> EngineLoad:
    """Create the load of an idle engine."""
    condition = EngineCondition(RateRules())
    return EngineLoad(of, MODEL, ServiceEstimates.initial(), condition)


def make_team(
    name: str = 'guides', *, rate: float = 1000, burst: float = 1000
) -> GatewayTeam:
    """Create a team with a token limit."""
    return GatewayTeam(
        name=name,
        priority=None,
        rate_per_s=rate,
        burst=burst,
        default_request_tokens=200,
    )


def make_quotas(
    *,
    spent: tuple[int, ...] = (),
    covers_window: bool = True,
    share: float = 1.0,
    is_first_start: bool = True,
    slack: float = 0,
) -> TokenQuotas:
    """Create the token limits of an owner."""
    return TokenQuotas(
        QuotaView(
            spent=lambda _team, _now: spent,
            covers_window=lambda: covers_window,
            share=lambda: share,
        ),
        QuotaRules(window_ms=8000, slack=slack),
        is_first_start=is_first_start,
    )


def make_reported_quotas(
    reports: SpendingReports,
    *,
    share: Callable[[], float],
    window_ms: float,
    slack: float,
    overage: float,
    overlap_ms: float,
    is_first_start: bool,
) -> TokenQuotas:
    """Create the token limits of an owner that adds up reports."""
    return TokenQuotas(
        QuotaView(
            spent=reports.spent_by_age,
            covers_window=reports.is_complete,
            share=share,
            overlap_ms=lambda: overlap_ms,
        ),
        QuotaRules(
            window_ms=window_ms,
            slack=slack,
            overage=overage,
            slice_ms=window_ms / SLICES_PER_WINDOW,
        ),
        is_first_start=is_first_start,
    )


def make_cell(
    *engines: Engine,
    properties: EngineProperties = MODEL,
    instances: tuple[str, ...] = (),
    is_certain: IsCertain = always_certain,
) -> EngineCell:
    """Create a cell with engines and without team limits."""
    made = EngineCell(
        SharedState(
            quotas=make_quotas(),
            teams={},
            is_certain=is_certain,
            instances=lambda: instances,
        ),
        RetryBudget(RetryRules(0.2, 20, 10_000), lambda _now: 1.0),
    )
    made.update_engines(engines, properties, {})
    return made


def make_request(request_id: str, **changes: object) -> Enqueue:
    """Create a request for the service `desk`."""
    fields: dict[str, object] = {
        'request_id': request_id,
        'cell': 'desk',
        'team': 'guides',
        'tier_rank': 0,
        'deadline_ms': 10_000,
        'prompt_tokens': 600,
        'output_tokens': 100,
        'excluded': [],
        'fingerprint': request_id,
        'objective_ms': 500,
        'patience_ms': 3800,
        'gap_ms': 500,
        'quota_tokens': 700,
        'dispatches': 0,
        'zone': 'z1',
        **changes,
    }
    return Enqueue(**fields)


def enqueue(to: EngineCell, request: Enqueue, now: float = 0) -> object:
    """Enqueue a request and return its refusal, if any."""
    return to.enqueue(request, sender='s', deliver=async_discard, now=now)


def granted(by: EngineCell, now: float = 0) -> list[tuple[str, str]]:
    """Return the current grants as pairs of request id and engine."""
    return [
        (grant.queued.request.request_id, grant.upstream)
        for grant in by.place_waiting(now)
    ]
