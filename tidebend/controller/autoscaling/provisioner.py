"""Provisioning machines at the cloud, with a backoff for offers that it has no capacity for."""

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

# the text with which the cloud says that it has no capacity for an offer
NO_CAPACITY = "no capacity"
# an offer without capacity isn't requested again for about a worker's lease, within these factors
BACKOFF_JITTER = (0.7, 1.3)


class OfferBackoff:
    """Offers that the cloud lately had too few machines of."""

    def __init__(self, lease_s: float) -> None:
        """`lease_s`: the workers' lease, about which the backoff lasts."""
        self._lease_s = lease_s
        self._until: dict[Offer, float] = {}  # steady time until which it isn't requested again
        self._shortages: dict[Offer, int] = {}  # how many times in a row there was a shortage

    def is_available(self, offer: Offer, now: float) -> bool:
        """Whether an offer may be requested."""
        return self._until.get(offer, 0.0) < now

    def shortages(self, offer: Offer) -> int:
        """How many times in a row there was a shortage of it."""
        return self._shortages.get(offer, 0)

    def record_shortage(self, offer: Offer, now: float) -> None:
        """The cloud had fewer machines than requested."""
        self._shortages[offer] = self.shortages(offer) + 1
        self._until[offer] = now + random.uniform(*BACKOFF_JITTER) * self._lease_s

    def record_success(self, offer: Offer) -> None:
        """The cloud had all machines that were requested."""
        self._shortages.pop(offer, None)


class Provisioner:
    """Provisions machines for the leader, in named requests that the cloud executes once at most."""

    def __init__(self, cloud: CloudClient, tracked_machines: TrackedMachines, backoff: OfferBackoff) -> None:
        """Provisioned machines are added to `tracked_machines`, and shortages are recorded in `backoff`."""
        self._cloud = cloud
        self._tracked_machines = tracked_machines
        self.backoff = backoff
        self._request_count = 0

    def provision(self, term: int, offer: Offer, count: int) -> None:
        """Request machines of an offer, at most as many as the protocol allows in one request.

        Without a response the request may have been executed: such machines show up in the list. Raises
        InvalidMessageError for a response that can't be read.
        """
        # A term is one election of one process, and the counter is never set back, not even when we regain the
        # same term after our lease was in doubt: so the name can't be used again.
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
            log.error("cloud: unexpected %s to a rental: %s", response.status, response.body)

    def _track(self, offer: Offer, count: int, names: list[str], now: float) -> None:
        for name in names:
            self._tracked_machines.add(name, TrackedMachine(offer.type.name, offer.zone, offer.spot, now))
        log.info(
            "rented %d of %d %s in %s%s",
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
