"""Records as commit b21e54f wrote them are read as that commit read them, and written back identically.

`samples/stored_records.json` was made once with the code of that commit, from the scene that it holds: `changes` are
the changes of the state service, `views` what that commit's cache of jobs showed after some of them, `records` and
`chunks` further jobs and chunks that it packed, the latter with the number of their first task. While the scene begins
the first format version is written, and from the middle on the second.
"""

import json
import threading
from dataclasses import replace
from pathlib import Path

import pytest

from tests.test_scenarios import Scenario
from tests.test_upgrade import key_prefix, structure
from tidebend.cluster_state.final_states import FinalState, pack_final, unpack_final
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import HEAD_PREFIX, JOB_PREFIX, Job
from tidebend.cluster_state.record_chunks import CHUNK_PREFIX, Chunk, ChunkIndex
from tidebend.cluster_state.task_bitmap import parse_ranges
from tidebend.coordination.records import LEADER_KEY, NODE_PREFIX, SHARD_PREFIX, ZONE_PREFIX
from tidebend.coordination.schema_version import READABLE_VERSION_PREFIX, SCHEMA_VERSION_KEY
from tidebend.kvclient import FINAL
from tidebend.quota import QUOTA_PREFIX, TEAM_PREFIX, QuotaAmount, TeamUsage, UsageIndex, ZoneQuotas

SAMPLES = json.loads((Path(__file__).parent / "samples" / "stored_records.json").read_text())
ZONES = ("north", "south", "west")
WRITTEN = [(key, value) for _, key, value in SAMPLES["changes"] if value is not None]


def recorded(prefix):
    rows = [(key[len(prefix) :], value) for key, value in WRITTEN if key.startswith(prefix)]
    assert rows, prefix  # the sample has some of each kind
    return rows


def as_stored(value):
    return json.loads(json.dumps(value))


def test_jobs_are_written_back_as_they_were():
    records = [
        *SAMPLES["records"],
        *((key, value) for key, value in WRITTEN if key.startswith((JOB_PREFIX, HEAD_PREFIX))),
    ]
    assert {key.startswith(JOB_PREFIX) for key, _ in records} == {True, False}
    assert {name for _, value in records for name in value} == {
        *("spec", "at", "cancelled", "awaits", "ready", "parts", "started", "ended", "done", "claims")
    }
    for key, value in records:
        job = Job.unpack(key.rpartition("/")[2], value, 7)
        if key.startswith(JOB_PREFIX) and "cancelled" in value:
            # the only field that is written otherwise than it was: see the next test
            value = {**value, "done": f"{value['done']},{job.spec.tasks}"}
        assert as_stored(job.pack()) == value
        assert list(job.pack()) == list(value)
        assert job.key == key


def test_a_cancelled_record_of_the_first_format_holds_a_task_more_than_there_are_and_no_other_does():
    cancelled = [value for key, value in SAMPLES["records"] if key.startswith(JOB_PREFIX) and "cancelled" in value]
    assert cancelled
    for value in cancelled:
        job = Job.unpack("req-a", value, 7)
        for done in (0, job.done, job.all_tasks & ~job.allocated):
            before = replace(job, done=done)
            assert before.needs_sealing
            written = as_stored(before.pack())
            assert parse_ranges(written["done"]) == done | 1 << job.spec.tasks
            assert Job.unpack("req-a", written, 7) == replace(before, cancellation_sealed=True)
            assert not Job.unpack("req-a", written, 7).needs_sealing
            assert as_stored(Job.unpack("req-a", written, 7).pack()) == written
            assert parse_ranges(replace(before, cancelled=False).pack().get("done", "")) == done
            waited = replace(before, dependencies_done_at=1.0)
            assert parse_ranges(waited.pack().get("done", "")) == done


def test_chunks_are_written_back_as_they_were():
    chunks = list(SAMPLES["chunks"])
    sizes = {name: ChunkIndex.unpack(value["parts"]).size for name, value in recorded(HEAD_PREFIX) if "parts" in value}
    for name, value in recorded(CHUNK_PREFIX):
        job, _, number = name.rpartition("/")
        chunks.append([int(number) * sizes[job], value])
    assert {name for _, value in chunks for name in value} == {"started", "ended", "done", "claims", "source"}
    for first, value in chunks:
        chunk = Chunk.unpack(value, 7, first)
        assert as_stored(chunk.pack(first)) == value
        assert list(chunk.pack(first)) == list(value)
        assert chunk.version == 7
        assert all(allocation.tasks >> first for allocation in chunk.allocations)


def test_teams_and_quotas_are_written_back_as_they_were():
    for name, value in recorded(TEAM_PREFIX):
        index = UsageIndex()
        index.on_change(TEAM_PREFIX + name, value, 7)
        usage = index.team(name)
        assert usage.version == 7
        assert as_stored(usage.pack()) == value
        assert usage.charged == tuple(value)
        assert usage == TeamUsage(*value, 7, QuotaAmount(*value))
    for _, value in recorded(QUOTA_PREFIX):
        quotas = ZoneQuotas.unpack(value, 7)
        assert quotas.version == 7
        assert as_stored(quotas.pack()) == value
        assert all(quotas.zones[zone] == tuple(row) for zone, row in value.items())


def test_final_states_of_both_format_versions_are_written_back_as_they_were():
    values = [value for _, value in recorded(FINAL)]
    assert {type(value) for value in values} == {str, dict}
    for value in values:
        final = unpack_final(value)
        assert as_stored(pack_final(final.state, final.at, without_time=isinstance(value, str))) == value
        assert final == (FinalState(value, 0.0) if isinstance(value, str) else (value["state"], value["at"]))


def view(cache, names):
    """What a cache shows, as the sample holds it."""
    usages = {" ".join(zones): cache.team("team", zones) for zones in ((), ("north",), ("south", "west"))}
    return as_stored(
        {
            "jobs": {job.id: view_of_job(job) for job in cache.live_jobs()},
            "finals": {name: cache.final_state(name) for name in names},
            "dependents": {name: sorted(rows) for name, rows in cache.dependents_by_job().items()},
            "unresolved": cache.missing_final_states(),
            "machines": {
                machine: [[job.id, f"{allocation.tasks:x}"] for job, allocation in cache.allocations_on(machine)]
                for machine in sorted(cache.machines_with_allocations())
            },
            "team": {zones: [usage.cpus, usage.gpus, usage.version, usage.charged] for zones, usage in usages.items()},
            "used": {zone: cache.used("team", (zone,)) for zone in ZONES},
            "chunk_versions": {job.id: cache.chunk_versions(job.id) for job in cache.live_jobs()},
        }
    )


def view_of_job(job):
    return {
        "key": job.key,
        "pending": f"{job.pending:x}",
        "done": f"{job.done:x}",
        "started": job.last_attempt,
        "ended": job.ended_count,
        "charged": job.charged,
        "startable_since": job.startable_since,
        "blocked": job.blocked,
        "cancelled": job.cancelled,
        "dependencies": job.dependencies,
        "allocations": [
            [row.machine, row.session, row.attempt, f"{row.tasks:x}", row.allocated_at, row.zone]
            for row in job.allocations
        ],
    }


def test_the_cache_shows_the_same_as_it_did_and_its_jobs_in_the_same_order():
    cache = JobCache(threading.RLock(), 100)
    expected = {row.pop("after"): row for row in as_stored(SAMPLES["views"])}
    names = set()
    for number, (version, key, value) in enumerate(SAMPLES["changes"], 1):
        cache.on_change(key, value, version)
        if key.startswith(FINAL):
            names.add(key[len(FINAL) :])
        if number in expected:
            shown = view(cache, sorted(names))
            assert shown == expected[number], number
            assert list(shown["jobs"]) == list(expected[number]["jobs"])
    assert any(job["blocked"] for row in expected.values() for job in row["jobs"].values())
    assert any(row["chunk_versions"][name] for row in expected.values() for name in row["jobs"])


@pytest.fixture(scope="module")
def written_today(tmp_path_factory):
    path = tmp_path_factory.mktemp("scene") / "scene.txt"
    path.write_text("\n".join(SAMPLES["scene"]))
    return [(row["put"], row["v"]) for row in Scenario(path).run().state.changes if "put" in row]


@pytest.mark.parametrize(
    "prefix",
    [
        LEADER_KEY,
        NODE_PREFIX,
        SHARD_PREFIX,
        ZONE_PREFIX,
        SCHEMA_VERSION_KEY,
        READABLE_VERSION_PREFIX,
        TEAM_PREFIX,
        QUOTA_PREFIX,
        FINAL,
        JOB_PREFIX,
        HEAD_PREFIX,
        CHUNK_PREFIX,
    ],
)
def test_the_same_scene_leads_to_records_of_the_same_form(written_today, prefix):
    def forms(rows):
        return {
            (key_prefix(key), json.dumps(structure(value), default=str))
            for key, value in rows
            if key.startswith(prefix)
        }

    def without_contents(form):
        """A job's allocations and a node's unreachable peers are lists that may have any length."""
        name, text = form
        value = json.loads(text)
        for field in ("claims", "unheard"):
            if isinstance(value, dict) and field in value:
                value[field] = "list"
        return name, json.dumps(value)

    then, now = ({without_contents(form) for form in forms(rows)} for rows in (WRITTEN, written_today))
    assert then
    assert now == then
