"""Model checker for quotas: bounded exploration of a small system, random traces of a larger one, injected faults."""

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from simulation.model import Size, explore, walk

LARGER = Size(zones=3, holders=3, moves=4, late=2, limit=3.0)


def test_every_order_keeps_shares_within_the_limit_and_claims_within_shares():
    found = explore(Size(zones=2, holders=2), most=500)
    assert (found.states, found.breach) == (499, "")  # `python3 -m simulation model` explores further


@settings(max_examples=60, deadline=None, derandomize=True, database=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(st.integers(0, 10_000), min_size=60, max_size=120))
def test_chosen_ways_through_more_holders_keep_it_too(picks):
    left = list(picks)
    breach, way = walk(LARGER, lambda options: left.pop() % options if left else 0, 30)
    assert not breach, "\n".join([breach, *way])


@pytest.mark.parametrize("fault", ["no_fence", "no_doubts", "credit_first"])
def test_a_planted_fault_is_found(fault):
    chance = random.Random(1)
    assert any(walk(LARGER, chance.randrange, 40, fault)[0] for _ in range(600))
