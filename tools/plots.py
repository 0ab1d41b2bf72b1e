"""Plot benchmark output as SVG.

python3 -m tools.bench_agents ... | tee agents.jsonl
python3 -m tools.plots agents agents.jsonl docs/agents.svg
python3 -m tools.plots store store.jsonl docs/store.svg
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
from collections import defaultdict
from pathlib import Path

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "tidebend"  # makes the output file reproducible
from matplotlib import pyplot  # noqa: E402


def agents(rows: list[dict]) -> pyplot.Figure:
    figure, axes = pyplot.subplots(1, 3, figsize=(11, 3.2), layout="constrained")
    rows = [row for row in rows if "agents" in row]
    x = [row["agents"] for row in rows]
    axes[0].plot(x, [row["core"] for row in rows], marker="o")
    axes[0].set(title="control service: cores", xlabel="agents", ylim=(0, None))
    axes[1].plot(x, [row["memory_mb"] for row in rows], marker="o")
    axes[1].set(title="control service: MB", xlabel="agents", ylim=(0, None))
    for part, name in (("start_p50_ms", "50th percentile"), ("start_p99_ms", "99th percentile")):
        axes[2].plot(x, [row[part] for row in rows], marker="o", label=name)
    axes[2].set(title="submission to start, ms", xlabel="agents", ylim=(0, None))
    axes[2].legend()
    return figure


def store(rows: list[dict]) -> pyplot.Figure:
    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.4), layout="constrained")
    found: dict[str, dict[int, list[dict]]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        if "store" in row:
            found[row["store"]][row["clients"]].append(row)
    for name, by_clients in found.items():
        x = sorted(by_clients)
        for axis, part in zip(axes, ("tx_per_s", "p99_ms"), strict=True):
            axis.plot(x, [statistics.median(row[part] for row in by_clients[n]) for n in x], marker="o", label=name)
    axes[0].set(title="transactions a second", xlabel="clients", xscale="log", ylim=(0, None))
    axes[1].set(title="99th percentile, ms", xlabel="clients", xscale="log", yscale="log")
    for axis in axes:
        axis.set_xticks([1, 8, 32], ["1", "8", "32"])
    axes[0].legend()
    return figure


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["agents", "store"])
    parser.add_argument("rows", type=Path)
    parser.add_argument("out", type=Path)
    arguments = parser.parse_args()
    rows = [json.loads(line) for line in arguments.rows.read_text().splitlines() if line.startswith("{")]
    figure = {"agents": agents, "store": store}[arguments.what](rows)
    figure.savefig(arguments.out, metadata={"Date": None})
    return 0


if __name__ == "__main__":
    sys.exit(main())
