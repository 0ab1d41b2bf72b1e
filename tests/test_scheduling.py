"""The paper's rules as small worked cases."""

import math

from tidebend.bookkeeping.tasksets import from_text, lowest, to_text
from tidebend.protocol import JobSpec, MachineType
from tidebend.scheduling import Place, Timeline, Value, Want, map_tasks, value_of

KIND = MachineType("box", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("north", "south"))


def spec(**changes):
    fields = dict(job_class="c", team="t", kind="array", priority="normal", tasks=1, cpus=4.0, gpus=0.0,
                  memory_gb=1.0, image="i", image_gb=0.0, types=None, zone=None, one_zone=False, spread=False,
                  spot=True, estimate_s=10.0, checkpoint_s=0.0, save_s=0.0, deadline_s=100.0)
    return JobSpec(**{**fields, **changes})


def place(name="m0", zone="north", spot=False, busy=()):
    timeline = Timeline(0.0, (8.0, 0.0, 32.0))
    for start, end, cpus in busy:
        timeline.take(start, end, (cpus, 0.0, 0.0))
    return Place(name, KIND, zone, spot, timeline)


def want(job, **changes):
    made = spec(**changes)
    return Want(job, made, value_of(made, 0.0, made.estimate_s), made.estimate_s, made.tasks)


def test_value_function():
    value = Value(10.0, 4.0, 100.0, 200.0)
    assert [value.at(t) for t in (0, 100, 150, 200, 200.1)] == [10.0, 10.0, 7.0, 4.0, 0.0]


def test_best_value_per_resource_goes_first():
    # the short one earns the same with less: it starts, the long one is held for afterwards
    placed = map_tasks([want("long", cpus=8.0, estimate_s=50.0), want("short", cpus=8.0)], [place()], 0.0, 100.0)
    assert [(p.job, p.start, p.now) for p in placed][0] == ("short", 0.0, True)


def test_place_holder_is_not_disturbed_by_backfill():
    # the high one needs all and waits for the running task's end at 20; a filler of 30 s would be in its way,
    # one of 15 s is not
    high = want("high", cpus=8.0, priority="high")
    filler = want("filler", cpus=4.0, estimate_s=15.0)
    long = want("long", cpus=4.0, estimate_s=30.0)
    placed = {p.job: p for p in map_tasks([high, filler, long], [place(busy=[(0.0, 20.0, 4.0)])], 0.0, 100.0)}
    assert (placed["high"].start, placed["high"].now) == (20.0, False)
    assert (placed["filler"].start, placed["filler"].now) == (0.0, True)
    assert "long" not in placed or not placed["long"].now


def test_place_holder_lapses_for_a_better_later_task():
    held = want("held", cpus=8.0)
    first = map_tasks([held], [place(busy=[(0.0, 20.0, 4.0)])], 0.0, 100.0)
    assert all(not p.now for p in first)
    later = map_tasks([want("held", cpus=8.0), want("better", cpus=8.0, priority="high")], [place()], 20.0, 100.0)
    assert [p.job for p in later if p.now] == ["better"]


def test_spread_counts_places_still_held():
    service = Want("s", spec(kind="service", spread=True, spot=False, tasks=2), Value(1, 1, 0, 1), 10.0, 1,
                   zones={"north": 1})
    placed = map_tasks([service], [place("a"), place("b", "south")], 0.0, 100.0)
    assert [p.machine for p in placed] == ["b"]


def test_services_never_on_machines_that_are_being_taken():
    taken = place()
    taken.until = 60.0
    assert map_tasks([want("s", kind="service", estimate_s=0.0)], [taken], 0.0, 100.0) == []


def test_gang_starts_whole_or_not():
    assert map_tasks([want("g", kind="gang", tasks=3)], [place()], 0.0, 100.0) == []
    both = map_tasks([want("g", kind="gang", tasks=3)], [place("a"), place("b")], 0.0, 100.0)
    assert sum(p.tasks for p in both if p.now) == 3


def test_teams_at_their_limit_are_skipped():
    limited = want("j", tasks=2)
    limited.headroom = 1
    assert sum(p.tasks for p in map_tasks([limited], [place()], 0.0, 100.0)) == 1


def test_task_sets():
    mask = from_text("0-3,7,9-10")
    assert to_text(mask) == "0-3,7,9-10"
    assert to_text(lowest(mask, 3)) == "0-2"
    assert to_text(from_text("0-99999")) == "0-99999"
    assert math.log2(from_text("5")) == 5
