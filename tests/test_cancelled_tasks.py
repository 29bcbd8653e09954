"""Cancelled tasks whose machines are reached only seldom, or not at all."""

import pytest

from virtual import play_history


@pytest.mark.parametrize("seed", [96, 882260, 4100101, 4201946])
def test_cancelled_task_is_gone_in_time_when_its_machine_hangs_while_the_store_is_out(seed: int) -> None:
    violations = play_history(seed, overlapping=True).invariants.violations
    assert not [violation for violation in violations if violation.startswith("ran_cancelled")]
