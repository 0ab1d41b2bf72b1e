"""Provisioning machines at the cloud, with a backoff for offers without capacity."""

from __future__ import annotations

import logging
import random
import time
from http import HTTPStatus

from tidebend import protocol
from tidebend.autoscaling import Offer
from tidebend.controller.autoscaling.cloud_client import CloudClient, CloudResponse
from tidebend.controller.autoscaling.tracked_machines import TrackedMachine, TrackedMachines

log = logging.getLogger("autoscaling")

# the cloud's error text for an offer without capacity
NO_CAPACITY = "no capacity"
# jitter of the backoff for an offer without capacity, as multiples of the workers' lease
BACKOFF_JITTER = (0.7, 1.3)


class OfferBackoff:
    """Backoff for offers of which the cloud lately had too few machines."""

    def __init__(self, lease_s: float) -> None:
        """`lease_s` is the duration of the backoff before jitter: the workers' lease in seconds."""
        self._lease_s = lease_s
        self._until: dict[Offer, float] = {}  # monotonic time until which an offer isn't requested
        self._shortages: dict[Offer, int] = {}  # number of consecutive shortages

    def is_available(self, offer: Offer, now: float) -> bool:
        """Return whether an offer may be requested."""
        return self._until.get(offer, 0.0) < now

    def shortages(self, offer: Offer) -> int:
        """Return the number of consecutive shortages of an offer."""
        return self._shortages.get(offer, 0)

    def record_shortage(self, offer: Offer, now: float) -> None:
        """Record that the cloud had fewer machines than requested, and start the backoff."""
        self._shortages[offer] = self.shortages(offer) + 1
        self._until[offer] = now + random.uniform(*BACKOFF_JITTER) * self._lease_s

    def record_success(self, offer: Offer) -> None:
        """Record that the cloud had all machines that were requested."""
        self._shortages.pop(offer, None)


class Provisioner:
    """Provisions machines for the leader, in requests with unique names that the cloud executes at most once."""

    def __init__(self, cloud: CloudClient, tracked_machines: TrackedMachines, backoff: OfferBackoff) -> None:
        """Adds provisioned machines to `tracked_machines`, and records shortages in `backoff`."""
        self._cloud = cloud
        self._tracked_machines = tracked_machines
        self.backoff = backoff
        self._request_count = 0

    def provision(self, term: int, offer: Offer, count: int) -> None:
        """Request machines of an offer; `count` may not exceed the protocol's maximum per request.

        Without a response the request may have been executed: such machines appear in the cloud's list. Raises
        InvalidMessageError for an invalid response.
        """
        # A term is unique to one election of one process, and the counter is never reset, not even when the same term
        # resumes after the lease was in doubt: so a name can't be reused.
        self._request_count += 1
        request_name = f"tidebend-{term}-{self._request_count}"
        now = time.monotonic()
        body = protocol.rental_request(request_name, offer.type.name, offer.zone, offer.spot, count)
        response = self._cloud.call("POST", protocol.PATH_RENT, body)
        if response is None:
            return
        if response.ok:
            self._track(offer, count, protocol.parse_rented(response.body), now)
        elif _is_shortage(response):
            self.backoff.record_shortage(offer, now)
        elif response.status not in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            log.error("cloud: unexpected status %s for a provisioning request: %s", response.status, response.body)

    def _track(self, offer: Offer, count: int, names: list[str], now: float) -> None:
        for name in names:
            self._tracked_machines.add(name, TrackedMachine(offer.type.name, offer.zone, offer.spot, now))
        log.info(
            "provisioned %d of %d %s machines in %s%s",
            len(names),
            count,
            offer.type.name,
            offer.zone,
            " (spot)" if offer.spot else "",
        )
        if len(names) < count:
            self.backoff.record_shortage(offer, now)
        else:
            self.backoff.record_success(offer)


def _is_shortage(response: CloudResponse) -> bool:
    body = response.body
    return (
        response.status == HTTPStatus.SERVICE_UNAVAILABLE
        and isinstance(body, dict)
        and body.get("error") == NO_CAPACITY
    )
