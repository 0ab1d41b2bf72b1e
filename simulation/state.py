"""A simulated key-value store on a virtual clock, written from the protocol's specification."""

from __future__ import annotations

import json
from bisect import bisect_right
from collections import Counter


class KeyValueStore:
    def __init__(self, world):
        self.world = world
        self.items = {}  # key -> (value, version, lease)
        self.leases = {}  # lease -> [duration in seconds, expiry time]
        self.revision = 0
        self.changes = []
        self.down_until = -1.0
        self.refuses = {}  # controller -> until: all its requests are refused
        self.limits = {"value_kb": 8.0, "txn_ops": 12, "write_rps": 1e9}
        self.write_tokens, self.write_tokens_at = 0.0, 0.0
        self.refused = []  # transactions refused for exceeding the size limits
        self.next_lease = 1
        self.change_revisions = []  # the revision of each row of `changes`, in ascending order
        self.counts = Counter()  # requests, changes, conflicts, refusals

    def step(self):
        if self.world.now < self.down_until:
            return
        for lease in [lease for lease, (_, end) in self.leases.items() if end < self.world.now]:
            self.end(lease)

    def down(self, until):
        self.down_until = until
        for row in self.leases.values():
            row[1] = until + row[0]

    def end(self, lease):
        del self.leases[lease]
        keys = [key for key, (_, _, owner) in self.items.items() if owner == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.write(key, None, None)

    def append_change(self, row):
        self.changes.append(row)
        self.change_revisions.append(self.revision)
        self.world.provenance.note_write(self.world.now, row.get("put") or row["delete"], row.get("v"))

    def write(self, key, value, lease):
        if value is None:
            if self.items.pop(key, None) is not None:
                self.append_change({"delete": key, "stamp": self.revision})
        else:
            self.items[key] = (value, self.revision, lease)
            self.append_change({"put": key, "v": value, "stamp": self.revision})

    def call(self, node, method, path, body):
        now = self.world.now
        self.counts["requests"] += 1
        if now < self.down_until or now < self.refuses.get(node, -1.0):
            return 503, {"error": "trouble"}
        path, _, query = path.partition("?")
        args = dict(part.split("=") for part in query.split("&")) if query else {}
        if path == "/multi":
            return self.transact(body)
        if path == "/grants":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [body["lifeMs"] / 1000.0, now + body["lifeMs"] / 1000.0]
            return 200, {"mooring": lease}
        if path.endswith("/extend"):
            row = self.leases.get(int(path.split("/")[2]))
            if row is None:
                return 404, {}
            row[1] = now + row[0]
            return 200, {}
        if path == "/changes":
            under, after = args["under"].replace("%2F", "/"), int(args["from"])
            rows = self.changes[bisect_right(self.change_revisions, after) :]
            log = [row for row in rows if (row.get("put") or row["delete"]).startswith(under)]
            return 200, {"logline": self.revision, "log": log}
        if path == "/kv":
            under = args["under"].replace("%2F", "/")
            rows = [{"k": k, "v": v[0], "stamp": v[1]} for k, v in sorted(self.items.items()) if k.startswith(under)]
            return 200, {"rows": rows, "more": False, "logline": self.revision}
        item = self.items.get(path[len("/kv/") :])
        if item is None:
            return 404, {"logline": self.revision}
        return 200, {"k": path[len("/kv/") :], "v": item[0], "stamp": item[1]}

    def exceeds_write_rate(self, changes):
        """Whether writes exceed the rate limit, a token bucket with a burst of one second."""
        rate = self.limits["write_rps"]
        self.write_tokens = min(rate, self.write_tokens + (self.world.now - self.write_tokens_at) * rate)
        self.write_tokens_at = self.world.now
        if changes > self.write_tokens:
            return True
        self.write_tokens -= changes
        return False

    def transact(self, body):
        sizes = [len(json.dumps(row.get("v"), separators=(",", ":"))) for row in body["writes"]]
        if (
            len(body["writes"]) > self.limits["txn_ops"]
            or len(body["if"]) > 4 * self.limits["txn_ops"]
            or max(sizes, default=0) > 1024 * self.limits["value_kb"]
        ):
            self.refused.append((self.world.now, len(body["writes"]), sizes))
            return 400, {"error": "too large"}
        if self.exceeds_write_rate(len(body["writes"])):
            self.counts["over"] += 1
            return 429, {"error": "too many changes"}
        self.counts["changes"] += len(body["writes"])
        for row in body["writes"]:
            if row.get("mooring") is not None and row["mooring"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [row["k"] for row in body["if"] if self.items.get(row["k"], (None, 0, None))[1] != row["stamp"]]
        if failed:
            self.counts["conflicts"] += 1
            return 409, {"failed": failed, "logline": self.revision}
        if body["writes"]:
            self.revision += 1
            for row in body["writes"]:
                self.write(row.get("put") or row["delete"], row.get("v"), row.get("mooring"))
        return 200, {"logline": self.revision}
