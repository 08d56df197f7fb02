"""Settings for all tests: Hypothesis draws the same examples every time."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('fixed')
