"""Encoding of peer frames and coordination records, and the leader's choice of shard holders."""

import json
from pathlib import Path

import cbor2
import pytest

from tidebend.coordination import InvalidPeerFrameError, PeerFrame, PeerMachine, ShardHolder
from tidebend.coordination.records import (
    LEADER_KEY,
    NODE_PREFIX,
    SHARD_PREFIX,
    FormatRecord,
    LeaderRecord,
    NodeRecord,
    ReadsRecord,
    ShardRecord,
    ZoneRecord,
)
from tidebend.coordination.shard_assignment import Cluster, Suitability, is_improvement

SAMPLES = json.loads((Path(__file__).parent / "samples" / "production.json").read_text())


def test_a_frame_of_production_is_packed_to_the_same_bytes():
    frame = PeerFrame.unpack(SAMPLES["frame"])
    assert frame.machines[0] == PeerMachine("vm-000001", "box", "north", 0, 0, "10.1.0.1", 9000, 1)
    assert frame.holders["north.0"] == ShardHolder(13, "n0")
    # Fields that production's frames lack are read as empty; later schema versions send them.
    packed = frame.pack()
    assert (packed.pop("at_fault"), packed.pop("came")) == ([], {})
    assert cbor2.dumps(packed) == cbor2.dumps(SAMPLES["frame"])


def test_a_frame_with_all_fields_is_read_as_it_was_packed():
    frame = PeerFrame(
        sender="n0",
        state_as_of=7.5,
        machines=[PeerMachine("a", "box", "north", 1, 0, "10.0.0.1", 9000, 3), PeerMachine.of_released("b")],
        held_shards=["north.0"],
        holders={"north.0": ShardHolder(13, "n0")},
        crash_looping_jobs=["req-a"],
        report_ages_s={"north.0": 0.25},
    )
    assert PeerFrame.unpack(cbor2.loads(cbor2.dumps(frame.pack()))) == frame
    assert json.loads(json.dumps(frame.pack()))["machines"][1] == ["b", "", "", 0, 1, "", 0, 0]


@pytest.mark.parametrize(
    "changes",
    [
        {"machines": [["vm-000000", "box"]]},
        {"machines": [7]},
        {"blocks": {"north.0": [1]}},
        {"blocks": {"north.0": ["x", "n0"]}},
        {"came": {"north.0": None}},
        {"at_fault": 1},
    ],
)
def test_a_frame_that_cannot_be_read_is_refused(changes):
    with pytest.raises(InvalidPeerFrameError):
        PeerFrame.unpack({**SAMPLES["frame"], **changes})


@pytest.mark.parametrize(
    ("kind", "stored"),
    [
        (LeaderRecord, {"node": "n2", "lease": 1}),
        (NodeRecord, {"lease": 3, "zone": "north", "unheard": ["south.0"]}),
        (ShardRecord, {"holder": "n0", "lease": 3}),
        (ZoneRecord, {"node": "n0", "at": 1000000102.125, "held": True}),
        (FormatRecord, {"version": 2}),
        (ReadsRecord, {"newest": 2}),
    ],
)
def test_a_record_is_stored_as_it_was_read(kind, stored):
    packed = kind.unpack(stored).pack()
    assert packed == stored
    assert list(packed) == list(stored)


def test_productions_records_of_coordination_can_be_read():
    read = 0
    for key, value in SAMPLES["items"].items():
        for prefix, kind in ((LEADER_KEY, LeaderRecord), (NODE_PREFIX, NodeRecord), (SHARD_PREFIX, ShardRecord)):
            if key.startswith(prefix):
                assert kind.unpack(value).pack() == value
                read += 1
    assert read == 7


def test_a_node_record_without_a_list_of_unreachable_shards_names_none():
    assert NodeRecord.unpack({"lease": 1, "zone": "north"}).unreachable_shards == ()


def suitability(cannot_reach=False, lacks_failover=False, is_outside_zone=False, shards_held=1):
    return Suitability(cannot_reach, lacks_failover, is_outside_zone, shards_held, False, "n0")


@pytest.mark.parametrize(
    ("current", "best", "is_best_stable", "ignore_unreachable", "expected"),
    [
        (suitability(cannot_reach=True), suitability(), False, False, True),
        (suitability(cannot_reach=True), suitability(), False, True, False),
        (suitability(cannot_reach=True), suitability(cannot_reach=True), True, False, False),
        # A stable candidate in the shard's zone gets the shard even while the holder's unreachable mark is new.
        (suitability(cannot_reach=True, is_outside_zone=True), suitability(), True, True, True),
        (suitability(lacks_failover=True), suitability(is_outside_zone=True), True, False, True),
        (suitability(lacks_failover=True), suitability(), False, False, False),
        (suitability(is_outside_zone=True), suitability(lacks_failover=True), True, False, False),
        (suitability(is_outside_zone=True), suitability(shards_held=9), True, False, True),
        (suitability(shards_held=9), suitability(is_outside_zone=True), True, False, False),
        (suitability(shards_held=3), suitability(shards_held=1), True, False, True),
        (suitability(shards_held=2), suitability(shards_held=1), True, False, False),
    ],
)
def test_a_shard_moves_only_for_a_better_holder(current, best, is_best_stable, ignore_unreachable, expected):
    assert is_improvement(current, best, is_best_stable, ignore_unreachable) is expected


def test_a_shard_goes_to_its_own_zone_unless_nothing_there_can_be_reached():
    live = {"n0": NodeRecord(1, "north", ("north.0",)), "n1": NodeRecord(2, "south", ())}
    cluster = Cluster(["n0", "n1", "n2"], live, frozenset())
    held = {"n0": 0, "n1": 5}
    north, south = (
        min(live, key=lambda name, shard=shard: cluster.suitability(shard, name, held))
        for shard in ("north.0", "south.0")
    )
    assert (north, south) == ("n1", "n1")
    assert cluster.suitability("north.0", "n1", held).is_successor_down  # n2 isn't live
    assert not cluster.suitability("north.0", "n0", held).is_successor_down
