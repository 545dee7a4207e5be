"""The experiments and the tool that runs them."""

import pathlib
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.transport import errors
from amaranthpulley.transport.bench import (
    capacity,
    control,
    domain_loss,
    orders,
    overload,
    plots,
    report,
    rolling,
    search_cost,
    stragglers,
)


class Options(NamedTuple):
    """Options of the command line.

    Attributes
    ----------
    only : str or None
        Name of the only experiment to run; None for all.
    seed : int
        Seeds all random choices.
    out : str or None
        Folder for the rows as JSON lines and the plots; None to write none.
    quick : bool
        Whether to use small sizes, for a trial of the tool itself.
    leaves : str or None
        Folder with the addresses of running leaves; None if no leaves run.
    revision : str
        Revision of the source; written with the rows.
    """

    only: str | None
    seed: int
    out: str | None
    quick: bool
    leaves: str | None = None
    revision: str = ""


class Experiment(NamedTuple):
    """A measurement that the tool can run.

    Attributes
    ----------
    name, title : str
        Name for the command line, and description.
    run : callable
        Returns the rows.
    needs_leaves : bool
        Whether the experiment needs leaves that run in separate processes.
    """

    name: str
    title: str
    run: Callable[[Options], list]
    needs_leaves: bool = False


EXPERIMENTS: Final = (
    Experiment(
        "stragglers",
        "slow leaf calls against the tail of searches",
        lambda options: stragglers.run(options.seed, options.quick),
    ),
    Experiment(
        "overload",
        "twice the load that the leaves can carry, and the time after it",
        lambda options: overload.run(options.seed, options.quick),
    ),
    Experiment(
        "domain_loss",
        "a failure domain lost without warning that comes back cold",
        lambda options: domain_loss.run(options.seed, options.quick),
    ),
    Experiment(
        "rolling",
        "index versions that roll over the leaves under load",
        lambda options: rolling.run(options.seed, options.quick),
    ),
    Experiment(
        "orders",
        "store writes for each order, and orders under faults",
        lambda options: orders.run(options.seed, options.quick),
    ),
    Experiment(
        "search_cost",
        "processor time of a search by leaves asked, over loopback",
        lambda options: search_cost.run(options.leaves, options.seed, options.quick),
        needs_leaves=True,
    ),
    Experiment(
        "control",
        "change tickets, duties and the cost of control, under virtual time",
        lambda options: control.run(options.seed, options.quick),
    ),
    Experiment(
        "capacity",
        "growth of state, time and messages with the size of the system",
        lambda options: capacity.run(options.seed, options.quick),
    ),
)


def run(options: Options, show: report.Show) -> int:
    """Run experiments and show their rows.

    Parameters
    ----------
    options : Options
        What to run.
    show : callable
        Called with each line of the output.

    Returns
    -------
    int
        The exit code.
    """
    for experiment in _select(options.only):
        command = _command_of(experiment, options)
        show(f"{experiment.name}: {experiment.title}")
        show(f"command: {command}")
        if experiment.needs_leaves and options.leaves is None:
            show("not run: it needs leaves; `make bench` starts them")
            show("")
            continue
        rows = experiment.run(options)
        report.show_table(rows, show)
        if options.out is not None:
            origin = report.Origin(
                experiment.name, command, options.seed, options.revision
            )
            folder = pathlib.Path(options.out)
            report.write_lines(rows, origin, folder)
            plots.save(experiment.name, rows, folder)
    return 0


def _select(only: str | None) -> list[Experiment]:
    selected = [e for e in EXPERIMENTS if only in (None, e.name)]
    if not selected:
        known = ", ".join(e.name for e in EXPERIMENTS)
        raise errors.UnknownExperimentError(
            f"no experiment is named {only!r}; there are: {known}"
        )
    return selected


def _command_of(experiment: Experiment, options: Options) -> str:
    quick = " --quick" if options.quick else ""
    words = f"--only {experiment.name} --seed {options.seed}{quick}"
    if experiment.needs_leaves:
        return f'make bench BENCH="{words}"'
    return f"amaranthpulley bench {words}"
