"""Settings of property-based tests: the same examples in each run, or fresh ones.

By default a test plays a fixed number of examples that do not change from run to
run, so that its verdict does not either. With the environment variable
FRESH_EXAMPLES it plays that number of new ones:

    FRESH_EXAMPLES=2000 .venv/bin/python -m nose2 tests.test_quota_lease
"""

import os

import hypothesis

_FRESH = "FRESH_EXAMPLES"


def examples(count: int) -> hypothesis.settings:
    """Returns settings that play a number of examples."""
    fresh = os.environ.get(_FRESH)
    return hypothesis.settings(
        max_examples=int(fresh) if fresh else count,
        derandomize=not fresh,
        deadline=None,
        database=None,
        # A smaller seed or schedule is not a simpler one, and finding it takes
        # longer than the test.
        phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
