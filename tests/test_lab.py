"""The laboratory: what it refuses, that a seed repeats a play, and that its figures see what happened."""

import json
from pathlib import Path

import pytest

from simulation.__main__ import UNUSABLE, main, metric_value
from simulation.experiment import read
from simulation.play import play
from tidebend.hcl import HclFileError

SMALL = """cluster {
  zones = 2
  controllers = 4
  seconds = 60
  report_s = 1
  lease_s = 10
  cancel_s = 35
}
type "box" {
  cpus = 8
  memory_gb = 32
  at_start = 6
  most = 8
  boot_s = 5
}
team "small" {
  guaranteed = 8
  limit = 16
  count = 2
}
jobs "batch" {
  teams = ["small"]
  tasks = [6, 9]
  per_minute = 10
  cpus = 2
  run_s = 6
  checkpoint_s = 1
  save_s = 0.5
}
trouble "one dies" {
  at = 20
  what = "machines"
  share = 1.0
}
trouble "frozen" {
  at = 25
  what = "freeze"
  node = 1
  seconds = 6
}
trouble "cut" {
  at = 35
  what = "zone"
  zone = 1
  seconds = 3
  hold = true
}
"""


@pytest.fixture
def small(tmp_path) -> Path:
    path = tmp_path / "small.hcl"
    path.write_text(SMALL)
    return path


def test_a_seed_repeats_a_play_and_the_figures_see_limits_deaths_and_what_was_served(small):
    experiment = read(str(small))
    first, again = play(experiment, 3), play(experiment, 3)
    assert json.dumps(first) == json.dumps(again)
    assert first["breaches"] == []
    assert first["overshoot"] == 0.0
    assert all(0.0 < row["most"] <= 16.0 for row in first["teams"].values())
    assert first["stops"] > 0
    assert first["lost_cpu_s"] > 0.0
    assert metric_value(first, "least_served_team") > 0.5
    assert first["state"]["changes"] > 0


@pytest.mark.parametrize(
    ("right", "wrong", "expected"),
    [
        ("boot_s = 5", "boot_s = -5", "boot_s"),
        ('teams = ["small"]', 'teams = ["big"]', "no team 'big'; expected one of"),
        ("  cpus = 2", "  cpus = 9", "fit on no type of machine"),
        ('what = "freeze"', 'what = "fire"', "Invalid enum"),
        ("node = 1", "node = 7", "expected -1 to 3"),
        ("zones = 2", "zones = = 2", "not HCL"),
    ],
)
def test_a_wrong_experiment_is_refused_with_line_and_field(small, right, wrong, expected):
    small.write_text(SMALL.replace(right, wrong))
    line = SMALL[: SMALL.index(right)].count("\n") + 1
    with pytest.raises(HclFileError, match=expected) as refused:
        read(str(small))
    assert f"small.hcl:{line}:" in str(refused.value)


def test_settings_beside_the_file(small, capsys):
    changed = read(str(small), {"cluster.controllers": "2", "team.small.limit": "40.5"})
    assert (changed.cluster.controllers, changed.teams["small"].limit) == (2, 40.5)
    assert main(["run", str(small), "--set", "team.big.limit=3"]) == UNUSABLE
    assert main(["run", str(small.parent / "none.hcl")]) == UNUSABLE
    assert main(["compare", str(small), "--base", "no-such-commit"]) == UNUSABLE
    assert "no such block" in (said := capsys.readouterr().err)
    assert "no commit" in said
