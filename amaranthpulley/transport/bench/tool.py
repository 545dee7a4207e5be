"""The table of experiments, and the tool that runs them."""

import pathlib
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.transport import errors
from amaranthpulley.transport.bench import report, stragglers


class Options(NamedTuple):
    """What the command line gives.

    Attributes
    ----------
    only : str or None
        Name of the one experiment to run; None for all.
    seed : int
        Decides all chance.
    out : str or None
        Folder for the rows as JSON lines; None to write none.
    quick : bool
        Whether sizes are small, to try the tool out.
    revision : str
        Revision of the source, noted with the rows.
    """

    only: str | None
    seed: int
    out: str | None
    quick: bool
    revision: str = ""


class Experiment(NamedTuple):
    """A measurement that the tool can run."""

    name: str
    title: str
    run: Callable[[Options], list]


EXPERIMENTS: Final = (
    Experiment(
        "stragglers",
        "slow leaf calls against the tail of searches",
        lambda options: stragglers.run(options.seed, options.quick),
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
    for experiment in _chosen(options.only):
        command = _command_of(experiment, options)
        show(f"{experiment.name}: {experiment.title}")
        show(f"command: {command}")
        rows = experiment.run(options)
        report.show_table(rows, show)
        if options.out is not None:
            origin = report.Origin(
                experiment.name, command, options.seed, options.revision
            )
            report.write_lines(rows, origin, pathlib.Path(options.out))
    return 0


def _chosen(only: str | None) -> list[Experiment]:
    chosen = [e for e in EXPERIMENTS if only in (None, e.name)]
    if not chosen:
        known = ", ".join(e.name for e in EXPERIMENTS)
        raise errors.UnknownExperimentError(
            f"no experiment is named {only!r}; there are: {known}"
        )
    return chosen


def _command_of(experiment: Experiment, options: Options) -> str:
    quick = " --quick" if options.quick else ""
    return f"amaranthpulley bench --only {experiment.name} --seed {options.seed}{quick}"
