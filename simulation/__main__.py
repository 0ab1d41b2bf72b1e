"""python3 -m simulation run | compare | sweep | model | search: experiments on virtual time; see docs/laboratory.md."""

from __future__ import annotations

import argparse
import importlib.util
import itertools
import json
import statistics
import sys
from collections.abc import Iterable
from dataclasses import asdict, fields
from pathlib import Path

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from simulation.experiment import read
from simulation.model import FAULTS, Size, explore
from simulation.plays import play_all
from simulation.search import FAULTS as SEARCH_FAULTS
from simulation.search import search as find
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


def text(values: Iterable[float | None]) -> str:
    known = [value for value in values if value is not None]
    if not known:
        return "-"
    mean = statistics.fmean(known)
    spread = f" ±{statistics.stdev(known):.3g}" if len(known) > 1 else ""
    return f"{mean:.3f}{spread}" if abs(mean) < 10 else f"{mean:,.0f}{spread}"


def columns(results: list[dict]) -> dict[str, list[dict]]:
    """Plays that differ only in their seeds stand in one column."""
    found: dict[str, list[dict]] = {}
    for result in results:
        what = " ".join([result["source"][:10], *(f"{path}={value}" for path, value in result["set"].items())])
        found.setdefault(what, []).append(result)
    return found


def show(results: list[dict], console: Console) -> None:
    by_column = columns(results)
    table = Table(title=f"{results[0]['experiment']}, simulated machines")
    table.add_column("")
    for name, group in by_column.items():
        table.add_column(f"{name} ({len(group)})", justify="right")
    for row in ROWS:
        table.add_row(
            row.replace("_", " "),
            *(text(metric_value(result, row) for result in group) for group in by_column.values()),
        )
    table.add_section()
    for why in sorted({why for result in results for why in result["kept_by"]}):
        table.add_row(
            f"kept by {why}, s",
            *(text(result["kept_by"].get(why, 0.0) for result in group) for group in by_column.values()),
        )
    for part, wanted in (
        ("teams", ("served", "had", "stranded", "below_guarantee", "to_limit_s")),
        ("classes", ("served", "wait_p90_s", "by_deadline", "stops")),
    ):
        table.add_section()
        names = sorted({name for result in results for name in result[part]})
        for name, field in itertools.product(names if len(names) <= 12 else names[:6], wanted):
            cells = [text(result[part].get(name, {}).get(field) for result in group) for group in by_column.values()]
            if any(cell != "-" for cell in cells):
                table.add_row(f"{name}: {field.replace('_', ' ')}", *cells)
    console.print(table)
    for result in results:
        for breach in result["breaches"][:3]:
            console.print(f"BROKEN: {result['source']} seed {result['seed']}: {breach}")


def plot(results: list[dict], path: str) -> None:
    import matplotlib  # only where a plot is asked for

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "tidebend"  # the same figures give the same file
    from matplotlib import pyplot

    by_column = columns(results)
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
    made = argparse.ArgumentParser(
        prog="python3 -m simulation",
        description=__doc__,
        epilog="exit status: 0 fine, 1 a rule was broken, 2 it could not run",
    )
    commands = made.add_subparsers(dest="command", required=True)
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("experiment", help="an HCL file, as in simulation/experiments")
    common.add_argument("--seeds", default="1", help="as 1 or 1,2,3 (default 1)")
    common.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="WHERE=VALUE",
        help="BLOCK.FIELD=VALUE or BLOCK.LABEL.FIELD=VALUE instead of what the file says",
    )
    common.add_argument("--json", action="store_true", help="print the reports as JSON")
    common.add_argument("--svg", metavar="FILE", help="draw the main figures")
    common.add_argument("--workers", type=int, default=4, help="plays at a time (default 4)")
    commands.add_parser("run", parents=[common], help="the code at hand")
    compare = commands.add_parser("compare", parents=[common], help="beside an older commit, in one run")
    compare.add_argument("--base", required=True, help="the older commit")
    commands.add_parser("sweep", parents=[common], help="every combination of comma-separated --set values")
    model = commands.add_parser(
        "model",
        help="every order of moves of shares, when small; the invariant after each",
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    for part in fields(Size):
        model.add_argument(f"--{part.name}", type=type(part.default), default=part.default, help="of the model")
    model.add_argument("--states", type=int, default=20_000, help="visit at most so many")
    model.add_argument("--fault", choices=FAULTS, default="none", help="plant a fault, to see that it is found")
    model.add_argument("--json", action="store_true", help="print the result as JSON")
    search = commands.add_parser(
        "search",
        help="meetings of two or three troubles at random, and a calm after each",
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    search.add_argument("--first", type=int, default=0, metavar="SEED", help="of the worlds")
    search.add_argument("--worlds", type=int, default=200, help="so many seeds")
    search.add_argument("--workers", type=int, default=4, help="worlds at a time")
    search.add_argument(
        "--fault", choices=sorted(SEARCH_FAULTS), default="", help="plant a fault, to see that it is found"
    )
    search.add_argument(
        "--from",
        dest="former",
        default="",
        metavar="COMMIT",
        help="begin with the version of a commit, whose controllers are replaced during the troubles",
    )
    search.add_argument("--json", action="store_true", help="print each world that broke a rule as a line of JSON")
    return made


def search(arguments: argparse.Namespace) -> int:
    broken = unfinished = contradicted = 0
    seeds = range(arguments.first, arguments.first + arguments.worlds)
    with Progress(console=Console(stderr=True, quiet=arguments.json)) as bar:
        task = bar.add_task("worlds", total=len(seeds))
        for made in find(seeds, arguments.fault, arguments.workers, arguments.former):
            bar.advance(task)
            broken += bool(made["breaches"])
            contradicted += bool(made["contradicted_new"])
            unfinished += bool(made["unfinished"])
            if made["breaches"] and arguments.json:
                print(json.dumps(made))
            elif made["breaches"]:
                print(f"BROKEN: seed {made['seed']}: {'; '.join(made['troubles'])}: {made['breaches'][0]}")
            elif made["unfinished"] and not arguments.json:
                print(f"unfinished: seed {made['seed']}: {'; '.join(made['troubles'])}: {made['unfinished']}")
    if not arguments.json:
        print(f"{len(seeds)} worlds: a rule broken in {broken}, something accepted that didn't end in {unfinished}")
        print(f"what a controller of today's version called final was called something else later in {contradicted}")
    return BROKEN if broken else 0


def model(arguments: argparse.Namespace) -> int:
    size = Size(**{part.name: getattr(arguments, part.name) for part in fields(Size)})
    with Progress(console=Console(stderr=True, quiet=arguments.json)) as bar:
        task = bar.add_task("states", total=arguments.states)
        found = explore(
            size,
            arguments.fault,
            arguments.states,
            progress=lambda states, depth: bar.update(task, completed=states) if states % 50 == 0 else None,
        )
    if arguments.json:
        print(json.dumps({**asdict(size), "fault": arguments.fault, **asdict(found)}))
    else:
        print(
            f"{found.states} states, depth {found.depth}{'' if found.complete else ', bounded'}: "
            f"{'BROKEN: ' + found.breach if found.breach else 'the invariant holds in all'}"
        )
        print("".join(f"  {number}. {text}\n" for number, text in enumerate(found.way, 1)), end="")
    return BROKEN if found.breach else 0


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
        errors.print("simulation: --svg needs what requirements-bench.txt names", highlight=False)
        return UNUSABLE
    try:
        seeds = [int(word) for word in arguments.seeds.split(",")]
        pairs = [pair.split("=", 1) for pair in arguments.set]
        if any(len(pair) != 2 for pair in pairs):
            raise ValueError("--set takes WHERE=VALUE")
        many = [
            [(path, value) for value in (values.split(",") if arguments.command == "sweep" else [values])]
            for path, values in pairs
        ]
        changes = [dict(row) for row in itertools.product(*many)]
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
        show(results, Console())
    if arguments.svg:
        Path(arguments.svg).parent.mkdir(parents=True, exist_ok=True)
        plot(results, arguments.svg)
    return BROKEN if any(result["breaches"] for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
