"""Output for people: tables, progress bars and the live view."""

from __future__ import annotations

import contextlib
import shlex
import time
from collections.abc import Callable, Iterator
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table
from rich.text import Text

from tidebend.client.api_client import ApiClient, ControlServiceUnreachableError

COLOURS = {"queued": "yellow", "running": "cyan", "done": "green", "cancelled": "magenta"}

# width where there is no terminal, so that nothing is truncated
WIDTH_WITHOUT_TERMINAL = 200


def _console() -> Console:
    console = Console(highlight=False)
    return console if console.is_terminal else Console(highlight=False, width=WIDTH_WITHOUT_TERMINAL)


def _state(name: str) -> Text:
    return Text(name, style=COLOURS.get(name, ""))


def _table(*columns: str) -> Table:
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold" if column == "job" else "ellipsis", no_wrap=column != "job")
    return table


def up(control: Any) -> None:
    """Print the address and the data directory of a control service that was started."""
    console = _console()
    console.print(f"tidebend serves on {control.address}, its data is in {control.directory}. Ctrl-C ends it.")
    console.print("In another terminal: tidebend submit -- echo hello", soft_wrap=True)


def submitted(rows: list[dict[str, Any]]) -> None:
    """Print the ids and states of jobs."""
    for row in rows:
        print(row["job"], row["state"])


def _jobs(rows: list[dict[str, Any]]) -> Table:
    table = _table("job", "state", "kind", "done", "running", "tasks", "command")
    for row in rows:
        command = shlex.join(row.get("command", []))
        table.add_row(
            row["job"],
            _state(row["state"]),
            row["kind"],
            str(row["done"]),
            str(row["running"]),
            str(row["tasks"]),
            Text(command if len(command) < 60 else command[:57] + "..."),
        )
    return table


def jobs(rows: list[dict[str, Any]]) -> None:
    """Print a table of jobs."""
    _console().print(_jobs(rows) if rows else "no jobs")


def details(rows: list[dict[str, Any]]) -> None:
    """Print jobs with their dependencies and their machines."""
    console = _console()
    for row in rows:
        console.print(_jobs([row]))
        if row.get("waits_for"):
            console.print(f"  waits for {', '.join(row['waits_for'])}", soft_wrap=True)
        for allocation in row.get("places", []):
            console.print(f"  {allocation['tasks']} on {allocation['machine']}")


def _agents(rows: list[dict[str, Any]]) -> Table:
    table = _table("machine", "type", "label", "started", "heard", "session", "tasks")
    for row in rows:
        heard = "not yet" if row["heard_s_ago"] is None else f"{row['heard_s_ago']:.1f} s ago"
        table.add_row(
            row["machine"],
            row["kind"],
            row["label"],
            "here" if row["here"] else "elsewhere",
            heard,
            str(row["session"]),
            str(row["tasks"]),
        )
    return table


def agents(rows: list[dict[str, Any]]) -> None:
    """Print a table of agents."""
    _console().print(_agents(rows) if rows else "no agents")


def keys(value: dict[str, Any]) -> None:
    """Print a table of keys."""
    table = _table("key", "made", "state")
    for row in value["keys"]:
        made = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(row["made"]))
        if row["until"] is None:
            state = "in force"
        elif row["in_force"]:
            state = f"accepted for {row['until'] - time.time():.0f} s more"
        else:
            state = "run out"
        table.add_row(row["key"], made, state)
    console = _console()
    console.print(value["file"], soft_wrap=True)
    console.print(table)


def certificates(rows: list[dict[str, Any]]) -> None:
    """Print a table of certificates."""
    table = _table("certificate", "until")
    for row in rows:
        table.add_row(row["file"], time.strftime("%Y-%m-%d", time.gmtime(row["until"])))
    _console().print(table if rows else "no certificates")


def _top(value: dict[str, Any]) -> Group:
    final_states = ("done", "cancelled")
    rows = sorted(value["jobs"], key=lambda job: job["state"] in final_states)
    return Group(_agents(value["agents"]), Text(), _jobs(rows))


def top(value: dict[str, Any]) -> None:
    """Print the agents and the jobs once."""
    _console().print(_top(value))


def live(client: ApiClient, every_s: float) -> None:
    """Show agents and jobs until Ctrl-C. While the control service is unreachable, show the error and the last view."""
    view: Any = Text("asking ...")
    with Live(view, console=_console(), auto_refresh=False, screen=True) as screen:
        while True:
            try:
                view = _top({"agents": client.agents(), "jobs": client.jobs(30)})
                status_line = Text(f"{client.address}  {time.strftime('%H:%M:%S')}", style="dim")
            except ControlServiceUnreachableError as error:
                status_line = Text(f"no answer: {error}", style="red")
            screen.update(Group(status_line, view), refresh=True)
            time.sleep(max(0.2, every_s))


@contextlib.contextmanager
def progress(enabled: bool) -> Iterator[Callable[[list[dict[str, Any]]], None]]:
    """Show a progress bar for each job on a terminal, nothing elsewhere. Yields a function that updates it."""
    console = Console(stderr=True)
    if not enabled or not console.is_terminal:
        yield lambda _: None
        return
    bars: dict[str, Any] = {}
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TextColumn("{task.fields[state]}"),
        TimeElapsedColumn(),
        console=console,
        transient=True,
    ) as shown:

        def update(rows: list[dict[str, Any]]) -> None:
            for row in rows:
                if row["job"] not in bars:
                    bars[row["job"]] = shown.add_task(row["job"], total=row["tasks"], state=row["state"])
                shown.update(bars[row["job"]], completed=row["done"], state=row["state"])

        yield update
