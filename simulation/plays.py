"""Runs experiments in parallel, each in its own process."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context

from rich.console import Console
from rich.progress import Progress

from simulation.experiment import read
from simulation.play import play
from simulation.versions import version_at


def one(path: str, changes: dict[str, str], seed: int, source: str | None) -> dict:
    """Run one experiment; `source` is a commit, or None for the working tree."""
    version = version_at(source) if source else None
    return {"source": source or "at hand", "set": changes, **play(read(path, changes), seed, version)}


def play_all(plays: list[tuple[str, dict[str, str], int, str | None]], workers: int, quiet: bool) -> list[dict]:
    """Run `plays`, rows of (experiment path, changes, seed, source), and return their reports in the same order."""
    console = Console(stderr=True, quiet=quiet)
    results: dict[int, dict] = {}
    # Each experiment gets a spawned process of its own, because it patches the clock and replaces modules.
    with (
        ProcessPoolExecutor(workers, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool,
        Progress(console=console) as bar,
    ):
        task = bar.add_task("plays", total=len(plays))
        numbers = {pool.submit(one, *row): number for number, row in enumerate(plays)}
        for done in as_completed(numbers):
            results[numbers[done]] = done.result()
            bar.advance(task)
    return [results[number] for number in range(len(plays))]
