"""Plots of experiments as PNG files; the only module that needs matplotlib."""

import pathlib
from collections.abc import Callable, Sequence
from typing import Any, Final

from amaranthpulley.transport.bench import domain_loss, sites, stragglers

WIDTH_INCHES: Final = 9.0
HEIGHT_INCHES: Final = 4.5
DOTS_PER_INCH: Final = 120
BAR_WIDTH: Final = 0.38
COLOURS: Final = {sites.PLAIN.name: "tab:gray", sites.FULL.name: "tab:blue"}

LINE_WIDTHS: Final = {sites.PLAIN.name: 3.0, sites.FULL.name: 1.5}

Draw = Callable[[Sequence[tuple]], Any]


def save(experiment: str, rows: Sequence[tuple], folder: pathlib.Path) -> str | None:
    """Write the plot of an experiment and return its path.

    Parameters
    ----------
    experiment : str
        Name of the experiment.
    rows : sequence of tuple
        Rows of the experiment.
    folder : Path
        Folder of the file ``<experiment>.png``.

    Returns
    -------
    str or None
        None if the experiment has no plot or matplotlib is not installed.
    """
    draw = _DRAWINGS.get(experiment)
    if draw is None or not _is_installed():
        return None
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{experiment}.png"
    figure = draw(rows)
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
    return str(path)


def _is_installed() -> bool:
    try:
        import matplotlib
    except ImportError:
        return False
    matplotlib.use("agg")
    return True


def _draw_stragglers(rows: Sequence[tuple]) -> Any:
    from matplotlib import pyplot

    services = list(dict.fromkeys(row.service for row in rows))
    figure, panels = pyplot.subplots(
        1,
        len(services),
        figsize=(WIDTH_INCHES, HEIGHT_INCHES),
        sharey=True,
        squeeze=False,
    )
    quantiles = ("p50_ms", "p99_ms", "p999_ms")
    for panel, service in zip(panels[0], services, strict=True):
        both = [r for r in rows if r.service == service and r.fault == stragglers.BOTH]
        for bar_index, row in enumerate(both):
            positions = [
                position + bar_index * BAR_WIDTH for position in range(len(quantiles))
            ]
            heights = [getattr(row, quantile) for quantile in quantiles]
            colour = COLOURS[row.policy]
            panel.bar(positions, heights, BAR_WIDTH, color=colour, label=row.policy)
        panel.set_title(service, fontsize="medium")
        panel.set_xticks(
            [position + BAR_WIDTH / 2 for position in range(len(quantiles))]
        )
        panel.set_xticklabels(["p50", "p99", "p99.9"])
        panel.grid(axis="y", alpha=0.3)
    panels[0][0].set_ylabel("latency of a search, ms")
    panels[0][0].legend()
    figure.suptitle("One leaf call in 100 is 20 times slower, one leaf 5 times")
    figure.tight_layout()
    return figure


def _draw_domain_loss(rows: Sequence[tuple]) -> Any:
    from matplotlib import pyplot

    seconds = [
        row
        for row in rows
        if isinstance(row, domain_loss.SecondRow)
        and row.warm_after == domain_loss.WARM_AFTER[0]
    ]
    figure, (goodput, latency) = pyplot.subplots(
        2, 1, figsize=(WIDTH_INCHES, 1.4 * HEIGHT_INCHES), sharex=True
    )
    for policy, colour in COLOURS.items():
        own = [row for row in seconds if row.policy == policy]
        times = [row.second for row in own]
        width = LINE_WIDTHS[policy]
        goodput.plot(
            times, [r.useful for r in own], color=colour, label=policy, linewidth=width
        )
        latency.plot(times, [row.p99_ms for row in own], color=colour, linewidth=width)
    offered = [row for row in seconds if row.policy == sites.PLAIN.name]
    goodput.plot(
        [row.second for row in offered],
        [row.sent for row in offered],
        color="black",
        linewidth=0.7,
        linestyle=":",
        label="offered",
    )
    for panel in (goodput, latency):
        panel.axvline(domain_loss.LOSS_AT_S, color="tab:red", linewidth=0.8)
        panel.axvline(domain_loss.RETURN_AT_S, color="tab:green", linewidth=0.8)
        panel.set_ylim(bottom=0)
        panel.grid(alpha=0.3)
    goodput.set_ylabel("useful answers a second")
    goodput.legend(loc="lower right")
    latency.set_ylabel("p99 of the answers, ms")
    latency.set_xlabel("seconds (red: domain lost; green: back, cold)")
    figure.tight_layout()
    return figure


_DRAWINGS: Final[dict[str, Draw]] = {
    "stragglers": _draw_stragglers,
    "domain_loss": _draw_domain_loss,
}
