"""A settings file that can't be used is refused with a line that names the field."""

import pytest

from simulation.world import World
from tidebend.cli import main
from tidebend.settings import Knobs, SettingsError, load_knobs, load_settings, read_settings


def write(tmp_path, name, text):
    path = tmp_path / name
    path.write_text(text)
    return str(path)


def test_a_missing_file_and_one_that_is_not_toml(tmp_path, capsys):
    assert main(["--config", str(tmp_path / "none.toml")]) == 2
    assert main(["--config", write(tmp_path, "bad.toml", "= 1")]) == 2
    assert "not a TOML file" in capsys.readouterr().err


def test_a_missing_field_is_named(tmp_path):
    with pytest.raises(SettingsError, match="outside is missing"):
        load_settings(write(tmp_path, "a.toml", 'member = "n0"'))


def test_operators_knobs(tmp_path):
    assert load_knobs(write(tmp_path, "a.hcl", "keep_idle = 0.7\nother = 3\n")) == Knobs(keep_idle=0.7)
    with pytest.raises(SettingsError, match="keep_idle must be a ratio"):
        load_knobs(write(tmp_path, "b.hcl", 'keep_idle = "much"\n'))


def test_a_limit_of_zero_is_none_and_unknown_fields_are_ignored():
    teams = [{"name": "t", "cpus": 1.0, "cpus_max": 0.0, "novelty": 1}]
    settings = World(1, ["north"], teams, []).settings("n0")
    assert settings.teams["t"].allows(1e6, 1e6)
    assert settings.controller_lease_s < settings.lease_s / 2


def test_a_mistyped_field_is_named():
    with pytest.raises(SettingsError, match="member must be a text"):
        read_settings({"outside": {}, "deployment": {"workers": {}, "state": {}, "cloud": {}}, "member": 3}, Knobs())


def test_limits_to_come_fall_back_to_those_in_force_and_only_shrink():
    world = World(1, ["north"], [], [])
    assert world.settings("n0").next_store_limits == world.settings("n0").store_limits
    world.next_limits = {"value_kb": 2.0, "txn_ops": 99}
    settings = world.settings("n0")
    assert settings.name == "n0"
    assert settings.deadline_objectives == {"c": 1.5}
    assert (settings.next_store_limits.value_bytes, settings.next_store_limits.txn_ops) == (2048, 12)
    assert settings.next_store_limits.write_rps == settings.store_limits.write_rps
    world.next_limits = {"txn_ops": "few"}
    with pytest.raises(SettingsError, match=r"deployment.state.next.txn_ops must be a number"):
        world.settings("n0")


def test_a_controller_on_the_platform_imports_nothing_of_the_product():
    """Guards the small memory of `run`."""
    import subprocess
    import sys

    code = (
        "import sys, tidebend.cli, tidebend.controller\n"
        "print(*sorted({name.partition('.')[0] for name in sys.modules}))\n"
        "print(*sorted(name for name in sys.modules if name.startswith('tidebend.')))"
    )
    tops, ours = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.splitlines()
    heavy = {"msgspec", "rich", "structlog", "hcl2", "sqlite3", "cryptography", "prometheus_client"}
    assert not heavy & set(tops.split())
    new = (
        "access",
        "agent",
        "client",
        "control",
        "hcl",
        "logs",
        "messages",
        "provider",
        "kvstore",
        "protocol.worker",
        "protocol.store",
        "protocol.cloud",
        "protocol.user",
    )
    assert not [name for name in ours.split() if any(f"{name}.".startswith(f"tidebend.{package}.") for package in new)]
