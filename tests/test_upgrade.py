"""Compatibility with records and peer frames of the version in production, by samples that it wrote."""

import json
import random
from pathlib import Path

import pytest

from simulation.world import World
from tests.test_guards import started_world
from tests.test_scenarios import Scenario
from tidebend.cluster_state.final_states import pack_final, unpack_final
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import HEAD_PREFIX, JOB_PREFIX, Job
from tidebend.coordination.schema_version import READABLE_VERSION_PREFIX, SCHEMA_VERSION_KEY

SAMPLES = json.loads((Path(__file__).parent / "samples" / "production.json").read_text())
SCENARIO = """machines 2 box north
machines 2 box south
2 submit req-a pieces=9 vcpus=2 run_s=6
3 submit req-s shape=service rank=critical pieces=2 spread=true reckonS=0 driftwood=false
4 submit req-g shape=group pieces=2 run_s=9 samePlace=true
20 submit req-b pieces=40 vcpus=1 run_s=9
20.5 submit req-c pieces=3 vcpus=1 run_s=90
24 cancel req-c
26 submit req-h pieces=300 vcpus=0.1 memoryGb=0.1 run_s=30
"""


def key_prefix(key):
    return "/".join(key.split("/")[:3]) if "/live/" in key else key.rpartition("/")[0]


def structure(value):
    """Return a value's structure: field names and types without the contents."""
    if isinstance(value, dict):
        return {key: structure(part) for key, part in value.items()}
    if isinstance(value, list):
        return [structure(part) for part in value]
    return float if isinstance(value, int | float) else type(value)


@pytest.mark.parametrize("sample", SAMPLES["jobs"], ids=lambda sample: "+".join(sample["value"]))
def test_a_job_as_production_wrote_it_is_read_and_written_as_it_was(sample):
    job = Job.unpack(sample["key"][len(JOB_PREFIX) :], sample["value"], 7)
    assert json.loads(json.dumps(job.pack())) == sample["value"]
    assert job.key == sample["key"]
    assert not job.blocked


def test_productions_teams_and_finals_are_read():
    import threading

    job_cache = JobCache(threading.RLock(), 10)
    for version, (key, value) in enumerate(SAMPLES["items"].items(), 1):
        job_cache.on_change(key, value, version)
    ended = sum(job.ended_count * job.spec.cpus for job in job_cache.live_jobs())
    assert job_cache.team("team").cpus == pytest.approx(SAMPLES["items"]["tidebend/live/team/team"][0] - ended)
    assert job_cache.final_state("req-a") == "done"
    assert job_cache.final_state("req-c") == "cancelled"
    assert unpack_final(pack_final("done", 5.0, without_time=True)) == ("done", 0.0)
    assert pack_final("done", 5.0, without_time=True) == SAMPLES["items"]["tidebend/final/req-a"]
    assert unpack_final(pack_final("done", 5.0, without_time=False)) == ("done", 5.0)


def test_until_the_format_is_raised_everything_has_productions_structure(tmp_path):
    """A controller that is down could come back with production's version, which drops fields that it doesn't know."""
    (tmp_path / "scene.txt").write_text(SCENARIO + "0.0 crash n2 1000\nrun 32\n")
    world = Scenario(tmp_path / "scene.txt").run()
    known = {}
    for key, value in [*SAMPLES["items"].items(), *((row["key"], row["value"]) for row in SAMPLES["jobs"])]:
        known.setdefault(key_prefix(key), []).append(structure(value))
    written = [(row["put"], row["v"]) for row in world.state.changes if "put" in row]
    assert {key_prefix(key) for key, _ in written} - set(known) == {
        key_prefix(READABLE_VERSION_PREFIX + "n0")
    }  # a key that production never reads
    assert SCHEMA_VERSION_KEY not in world.state.items
    for key, value in written:
        if key_prefix(key) == key_prefix(JOB_PREFIX):
            assert len(value["spec"]) == len(SAMPLES["jobs"][0]["value"]["spec"])
            assert any(set(value) <= set(sample) | {"cancelled"} for sample in known[key_prefix(key)]), value
            assert all(list(map(type, row[:4])) == [int, int, float, str] for row in value.get("claims", ()))
        elif key_prefix(key) in known:
            # `unheard` is a list of strings that is empty in most records
            assert structure(value) in known[key_prefix(key)] or "unheard" in value, (key, value)
    frame = json.loads(json.dumps(world.controllers["n0"].peer_frame()))
    assert list(frame) == list(SAMPLES["frame"])
    assert [type(part) for part in frame["machines"][0]] == [type(part) for part in SAMPLES["frame"]["machines"][0]]


def job_with_dependency(name, **changes):
    from tests.test_scenarios import JOB as FIELDS

    return {"id": name, **FIELDS, "awaits": ["req-a"], **changes}


def test_awaits_is_not_dropped_before_the_format_is_raised():
    random.seed(1)
    world = World(1, ["north", "south"], [{"name": "team", "cpus_max": 9.0}], [])
    world.types.append(
        {
            "name": "box",
            "vcpus": 8.0,
            "accelerators": 0.0,
            "memoryGb": 32.0,
            "localGb": 50.0,
            "fetchGbPerS": 1.0,
            "price": 1.0,
            "spotPrice": 0.4,
            "startupS": 10.0,
            "harbors": ["north"],
        }
    )
    world.crash("n1", 10.0)
    with world.clock():
        for _ in range(60):
            world.step()
        world.jobs["req-a"] = {key: value for key, value in job_with_dependency("req-a").items() if key != "awaits"}
        assert world.user("submit", "req-a", "n0")[0] == 201
        raw = json.dumps(job_with_dependency("req-b")).encode()
        reply = world.controllers["n0"].job_api.submit(raw)
        assert reply.status == 503
        assert reply.headers["Retry-After"]
        assert HEAD_PREFIX + "req-b" not in world.state.items
        for _ in range(80):
            world.step()
        assert world.state.items[SCHEMA_VERSION_KEY][0] == {"version": 2}
        assert world.controllers["n0"].job_api.submit(raw).status == 201
        assert HEAD_PREFIX + "req-b" in world.state.items
        assert JOB_PREFIX + "req-b" not in world.state.items


@pytest.fixture
def world():
    yield from started_world()


def test_the_frames_between_controllers_keep_their_fields(world):
    """Old and new versions exchange them during a rolling upgrade, and ignore a field that has another name."""
    frame = world.controllers["n0"].peer_frame()
    assert frame.keys() == {"from", "state_contact", "machines", "held", "blocks", "at_fault", "came"}
    assert all(len(row) == 8 for row in frame["machines"])
    assert frame["machines"]
