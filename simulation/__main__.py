"""python3 -m simulation run | compare | sweep | model | search: experiments on virtual time; see docs/laboratory.md."""

from __future__ import annotations

import argparse
import importlib.util
import itertools
import json
import statistics
import sys
from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from pathlib import Path

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from simulation.experiment import read
from simulation.model import FAULTS, Size, explore
from simulation.planted_faults import FAULTS as SEARCH_FAULTS
from simulation.plays import play_all
from simulation.search import search as search_worlds
from simulation.versions import VersionNotFoundError
from tidebend.hcl import HclFileError

BROKEN, UNUSABLE = 1, 2
ROWS = (
    "breaches",
    "overshoot",
    "stranded",
    "below_guarantee",
    "had",
    "least_served_team",
    "least_served_class",
    "starts",
    "stops",
    "lost_cpu_s",
    "changes_per_start",
    "conflicts_per_start",
    "machine_s",
)


def metric_value(result: dict, row: str) -> float | None:
    value = result[row]
    if row == "breaches":
        return len(value)
    return value["served"] if isinstance(value, dict) else value


def format_values(values: Iterable[float | None]) -> str:
    known = [value for value in values if value is not None]
    if not known:
        return "-"
    mean = statistics.fmean(known)
    spread = f" ±{statistics.stdev(known):.3g}" if len(known) > 1 else ""
    return f"{mean:.3f}{spread}" if abs(mean) < 10 else f"{mean:,.0f}{spread}"


def group_by_variant(results: list[dict]) -> dict[str, list[dict]]:
    """Group results that differ only in their seeds into one column."""
    by_column: dict[str, list[dict]] = {}
    for result in results:
        variant = " ".join([result["source"][:10], *(f"{path}={value}" for path, value in result["set"].items())])
        by_column.setdefault(variant, []).append(result)
    return by_column


def print_table(results: list[dict], console: Console) -> None:
    by_column = group_by_variant(results)
    table = Table(title=f"{results[0]['experiment']}, simulated machines")
    table.add_column("")
    for name, group in by_column.items():
        table.add_column(f"{name} ({len(group)})", justify="right")
    for row in ROWS:
        table.add_row(
            row.replace("_", " "),
            *(format_values(metric_value(result, row) for result in group) for group in by_column.values()),
        )
    table.add_section()
    for why in sorted({why for result in results for why in result["kept_by"]}):
        table.add_row(
            f"kept by {why}, s",
            *(format_values(result["kept_by"].get(why, 0.0) for result in group) for group in by_column.values()),
        )
    for part, wanted in (
        ("teams", ("served", "had", "stranded", "below_guarantee", "to_limit_s")),
        ("classes", ("served", "wait_p90_s", "by_deadline", "stops")),
    ):
        table.add_section()
        names = sorted({name for result in results for name in result[part]})
        for name, field in itertools.product(names if len(names) <= 12 else names[:6], wanted):
            cells = [
                format_values(result[part].get(name, {}).get(field) for result in group) for group in by_column.values()
            ]
            if any(cell != "-" for cell in cells):
                table.add_row(f"{name}: {field.replace('_', ' ')}", *cells)
    console.print(table)
    for result in results:
        for breach in result["breaches"][:3]:
            console.print(f"BROKEN: {result['source']} seed {result['seed']}: {breach}")


def draw_plot(results: list[dict], path: str) -> None:
    import matplotlib  # optional dependency, needed for plots only

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "tidebend"  # makes the output file reproducible
    from matplotlib import pyplot

    by_column = group_by_variant(results)
    rows = ("stranded", "below_guarantee", "had", "changes_per_start")
    drawing, axes = pyplot.subplots(1, len(rows), figsize=(3.2 * len(rows), 3.4), layout="constrained")
    for axis, row in zip(axes, rows, strict=True):
        values = [
            [value for result in group if (value := metric_value(result, row)) is not None]
            for group in by_column.values()
        ]
        axis.bar(range(len(values)), [statistics.fmean(part) if part else 0.0 for part in values])
        axis.set_xticks(range(len(values)), list(by_column), rotation=30, ha="right", fontsize=7)
        axis.set(title=row.replace("_", " "), ylim=(0, None))
    drawing.savefig(path, metadata={"Date": None})


def parser() -> argparse.ArgumentParser:
    root = argparse.ArgumentParser(
        prog="python3 -m simulation",
        description=__doc__,
        epilog="exit status: 0 success, 1 a rule was broken, 2 the command could not run",
    )
    commands = root.add_subparsers(dest="command", required=True)
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("experiment", help="an HCL file, as in simulation/experiments")
    common.add_argument("--seeds", default="1", help="comma-separated seeds (default 1)")
    common.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="WHERE=VALUE",
        help="BLOCK.FIELD=VALUE or BLOCK.LABEL.FIELD=VALUE to override a value of the file",
    )
    common.add_argument("--json", action="store_true", help="print the reports as JSON")
    common.add_argument("--svg", metavar="FILE", help="plot the main metrics to a file")
    common.add_argument("--workers", type=int, default=4, help="number of worker processes (default 4)")
    commands.add_parser("run", parents=[common], help="simulate the current code")
    compare = commands.add_parser("compare", parents=[common], help="simulate an older commit and the current code")
    compare.add_argument("--base", required=True, help="commit to compare with")
    commands.add_parser("sweep", parents=[common], help="simulate every combination of comma-separated --set values")
    model = commands.add_parser(
        "model",
        help="model-check moves of quota shares: check the invariant in every reachable state of a small system",
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    for part in fields(Size):
        model.add_argument(f"--{part.name}", type=type(part.default), default=part.default, help="size of the model")
    model.add_argument("--states", type=int, default=20_000, help="maximum number of states to visit")
    model.add_argument("--fault", choices=FAULTS, default="none", help="plant a bug to check that it is found")
    model.add_argument("--json", action="store_true", help="print the result as JSON")
    search = commands.add_parser(
        "search",
        help="run worlds with random combinations of two or three failures and check that no rule is broken",
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    search.add_argument("--first", type=int, default=0, metavar="SEED", help="first seed")
    search.add_argument("--worlds", type=int, default=200, help="number of worlds, one per seed")
    search.add_argument("--workers", type=int, default=4, help="number of worker processes")
    search.add_argument(
        "--fault", choices=sorted(SEARCH_FAULTS), default="", help="plant a bug to check that it is found"
    )
    search.add_argument(
        "--from",
        dest="former",
        default="",
        metavar="COMMIT",
        help="start with controllers of this commit, which are upgraded to the current version during the failures",
    )
    search.add_argument("--json", action="store_true", help="print each world that broke a rule as a line of JSON")
    return root


@dataclass
class SearchSummary:
    """Counts of the worlds of a search."""

    broken: int = 0
    broken_by_current: int = 0  # a process of the current version was involved in one of the breaches
    unfinished: int = 0
    contradicted: int = 0

    def add(self, result: dict) -> None:
        """Count a world."""
        self.broken += bool(result["breaches"])
        self.broken_by_current += any(result["by_current"])
        self.unfinished += bool(result["unfinished"])
        self.contradicted += bool(result["contradicted_new"])

    def print(self, worlds: int) -> None:
        """Print the counts."""
        print(f"{worlds} worlds: a rule broken in {self.broken}, accepted jobs unfinished in {self.unfinished}")
        print(f"of these, broken by processes of the former version alone: {self.broken - self.broken_by_current}")
        print(f"the current version sent, answered or recorded what broke a rule in {self.broken_by_current}")
        print(f"a final state reported by a controller of the current version was contradicted in {self.contradicted}")


def print_broken_world(result: dict) -> None:
    """Print a world's troubles, and the breaches in which the current version was involved before the others."""
    breaches = sorted(
        zip(result["breaches"], result["by_current"], result["involved"], strict=True), key=lambda row: not row[1]
    )
    breach, by_current, involved = breaches[0]
    versions = "current version involved" if by_current else "former version only"
    print(f"BROKEN: seed {result['seed']}: {'; '.join(result['troubles'])}: {breach} ({versions})")
    for text in involved:
        print(f"  {text}")


def search(arguments: argparse.Namespace) -> int:
    summary = SearchSummary()
    seeds = range(arguments.first, arguments.first + arguments.worlds)
    with Progress(console=Console(stderr=True, quiet=arguments.json)) as bar:
        task = bar.add_task("worlds", total=len(seeds))
        for result in search_worlds(seeds, arguments.fault, arguments.workers, arguments.former):
            bar.advance(task)
            summary.add(result)
            if result["breaches"] and arguments.json:
                print(json.dumps(result))
            elif result["breaches"]:
                print_broken_world(result)
            elif result["unfinished"] and not arguments.json:
                print(f"unfinished: seed {result['seed']}: {'; '.join(result['troubles'])}: {result['unfinished']}")
    if not arguments.json:
        summary.print(len(seeds))
    return BROKEN if summary.broken else 0


def model(arguments: argparse.Namespace) -> int:
    size = Size(**{part.name: getattr(arguments, part.name) for part in fields(Size)})
    with Progress(console=Console(stderr=True, quiet=arguments.json)) as bar:
        task = bar.add_task("states", total=arguments.states)
        result = explore(
            size,
            arguments.fault,
            arguments.states,
            progress=lambda states, depth: bar.update(task, completed=states) if states % 50 == 0 else None,
        )
    if arguments.json:
        print(json.dumps({**asdict(size), "fault": arguments.fault, **asdict(result)}))
    else:
        print(
            f"{result.states} states, depth {result.depth}{'' if result.complete else ', bounded'}: "
            f"{'BROKEN: ' + result.breach if result.breach else 'the invariant holds in all'}"
        )
        print("".join(f"  {number}. {step}\n" for number, step in enumerate(result.way, 1)), end="")
    return BROKEN if result.breach else 0


def main(words: list[str] | None = None) -> int:
    arguments = parser().parse_args(words)
    if arguments.command == "model":
        return model(arguments)
    errors = Console(stderr=True)
    if arguments.command == "search":
        try:
            return search(arguments)
        except VersionNotFoundError as error:
            errors.print(f"simulation: {error}", markup=False, highlight=False)
            return UNUSABLE
    if arguments.svg and importlib.util.find_spec("matplotlib") is None:
        errors.print("simulation: --svg needs the packages of requirements-bench.txt", highlight=False)
        return UNUSABLE
    try:
        seeds = [int(word) for word in arguments.seeds.split(",")]
        pairs = [pair.split("=", 1) for pair in arguments.set]
        if any(len(pair) != 2 for pair in pairs):
            raise ValueError("--set must have the form WHERE=VALUE")
        value_lists = [
            [(path, value) for value in (values.split(",") if arguments.command == "sweep" else [values])]
            for path, values in pairs
        ]
        changes = [dict(row) for row in itertools.product(*value_lists)]
        sources = [arguments.base, None] if arguments.command == "compare" else [None]
        for row in changes:
            read(arguments.experiment, row)
        results = play_all(
            [(arguments.experiment, row, seed, source) for row in changes for seed in seeds for source in sources],
            arguments.workers,
            arguments.json,
        )
    except (HclFileError, VersionNotFoundError, ValueError) as error:
        errors.print(f"simulation: {error}", markup=False, highlight=False)
        return UNUSABLE
    if arguments.json:
        print(json.dumps(results, indent=1))
    else:
        print_table(results, Console())
    if arguments.svg:
        Path(arguments.svg).parent.mkdir(parents=True, exist_ok=True)
        draw_plot(results, arguments.svg)
    return BROKEN if any(result["breaches"] for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
