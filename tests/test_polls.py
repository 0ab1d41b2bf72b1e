"""Many concurrent polls: their reads are shared and rate-limited, and lease renewals take precedence."""

import threading
import time

import pytest

from tidebend.kvclient import (
    ConflictError,
    KeyValueClient,
    KeyValueError,
    LeaseNotFoundError,
    NotExecutedError,
    OutcomeUnknownError,
    OverBudgetError,
    RequestKind,
    TransactionTooLargeError,
    WatchCache,
)
from tidebend.settings import StoreLimits
from tidebend.transport import NoAnswerError, UnreachableError

LIMITS = StoreLimits(rps=60.0, write_rps=15.0, value_bytes=8192, txn_ops=12)


class CountingStore:
    """Answers reads at once and records them."""

    poll_read_interval_s = 0.2

    def __init__(self):
        self.reads = []

    def items(self, prefix, after):
        return [], False, 1

    def changes(self, prefix, revision, wait_s, kind):
        self.reads.append((time.monotonic(), kind))
        return [], 1


@pytest.fixture
def cache():
    watch_cache = WatchCache(CountingStore(), lambda *row: None, threading.RLock(), 1.0, 1.0)
    watch_cache.catch_up(0.0, "claim")
    threading.Thread(target=watch_cache.read_barrier.run, daemon=True).start()
    return watch_cache


def test_polls_share_reads_that_begin_a_pause_apart_and_all_are_answered(cache):
    """Guards against one read per poll, which used up the store's rate limit so that leases weren't renewed."""
    answers = []

    def poll_repeatedly():
        for _ in range(10):
            answers.append(cache.barrier(1.2))
            time.sleep(0.02)

    threads = [threading.Thread(target=poll_repeatedly) for _ in range(20)]
    began = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed = time.monotonic() - began
    assert len(answers) == 200
    assert all(answers)
    assert len(cache.client.reads) <= elapsed / cache.client.poll_read_interval_s + 2


def test_a_claim_does_not_wait_for_the_polls_next_read(cache):
    assert cache.barrier(1.2)
    poll = threading.Thread(target=cache.barrier, args=(1.2,))
    poll.start()
    began = time.monotonic()
    assert cache.barrier(1.2, "claim")
    assert time.monotonic() - began < 0.5 * cache.client.poll_read_interval_s
    poll.join()
    assert [kind for _, kind in cache.client.reads] == ["poll", "claim"]  # the poll shared the claim's read


class RateLimitedStore:
    """Answers the first requests with 429, as if other clients had used up the rate limit."""

    def __init__(self, address, max_idle):
        self.rejections_left = 3

    def request(self, method, path, body, timeout):
        self.rejections_left -= 1
        return (429, {}) if self.rejections_left >= 0 else (200, {"mooring": 7})


def test_a_lease_is_renewed_though_others_have_used_up_the_second():
    """Guards against losing the lease after four rejections, when each retry waited up to a quarter of the lease."""
    client = KeyValueClient(("state", 1), LIMITS, 3, 0.9, connect=RateLimitedStore)
    began = time.monotonic()
    assert client.grant_lease(3.5) == 7
    assert client.extend_lease(7)
    assert time.monotonic() - began < 0.5


def test_polls_are_held_back_only_while_the_service_refuses_requests_for_the_rate():
    """Guards against delaying all polls, which made caches stale: claims conflicted, and guarantees came later."""
    client = KeyValueClient(("state", 1), LIMITS, 3, 0.9, connect=RateLimitedStore)
    normal_interval_s = client.poll_read_interval_s
    client._http.rejections_left = 6
    client.grant_lease(3.5)
    assert client.poll_read_interval_s > 4 * normal_interval_s


class FixedOutcome:
    """Answers each request with the same status and body, or raises the same error."""

    def __init__(self, outcome):
        self.outcome = outcome

    def request(self, method, path, body, timeout):
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def client_of(outcome, limits=LIMITS):
    return KeyValueClient(("state", 1), limits, 3, 0.9, connect=lambda address, max_idle: FixedOutcome(outcome))


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        ((409, {"failed": ["a"]}), ConflictError),
        ((400, {"error": "no such lease"}), LeaseNotFoundError),
        ((400, {"error": "too large"}), TransactionTooLargeError),
        ((429, {}), OverBudgetError),
        ((503, {}), NotExecutedError),
        ((500, {}), OutcomeUnknownError),
        ((200, {}), OutcomeUnknownError),  # the revision is missing
        (UnreachableError("no route"), NotExecutedError),
        (NoAnswerError("timed out"), OutcomeUnknownError),
    ],
)
def test_each_outcome_of_a_transaction_has_its_type_and_what_was_not_executed_says_so(outcome, expected):
    with pytest.raises(KeyValueError) as raised:
        client_of(outcome).transact({}, [("a", 1, None)], retry_for_s=0.0)
    assert type(raised.value) is expected


def test_requests_beyond_our_own_share_are_not_sent():
    client = client_of((200, {"logline": 1}), StoreLimits(rps=60.0, write_rps=3.0, value_bytes=8192, txn_ops=12))
    with pytest.raises(OverBudgetError) as raised:
        client.transact({}, [("a", 1, None)] * 5, retry_for_s=0.0)
    # the users' API answers 429 for this error
    assert isinstance(raised.value, NotExecutedError)
    assert str(raised.value) == "over budget"


def test_a_kind_of_request_may_be_given_as_a_string():
    client = client_of((200, {"logline": 1}))
    for kind in RequestKind:
        assert client.transact({}, [("a", 1, None)], kind=str(kind)) == 1
    with pytest.raises(ValueError, match="other"):
        client.transact({}, [("a", 1, None)], kind="other")
