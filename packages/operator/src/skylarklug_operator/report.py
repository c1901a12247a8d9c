"""HTML report on a trace, with plots of latency, finished tasks and evictions.

The trace is replayed because it holds only events, and measurements are
effects.
"""

import bisect
import collections
import html
import io
import pathlib
from typing import NamedTuple

from matplotlib import figure
from matplotlib import rc_context
from matplotlib.backends import backend_svg

from skylarklug import api
from skylarklug import effects as effect_types
from skylarklug import events
from skylarklug import exceptions
from skylarklug import trace

# Equal intervals into which the time of a trace is divided.
INTERVAL_COUNT = 40
# Quantiles of the request latency.
QUANTILES = (0.5, 0.95, 0.99)
# Colour of the vertical lines for each kind of mark.
MARK_COLOURS = {
    "configuration": "tab:green",
    "take-over": "tab:purple",
    "worker lost": "tab:red",
}
# The fixed salt for identifiers, and a plot without a date, make the page the
# same each time a trace is rendered.
SVG_SETTINGS = {"svg.hashsalt": "skylarklug", "svg.fonttype": "none"}


class Mark(NamedTuple):
    """An event to mark in the plots, with its time in milliseconds."""

    at: int
    kind: str
    text: str


class Series:
    """Measurements of a trace over time.

    Attributes:
        start, end: Times of the first and the last event in milliseconds.
        latencies: (time of its end, latency in milliseconds) of each request.
        finished: Time of each finished task.
        evicted: Time of each eviction.
        marks: Events to mark in the plots.
    """

    def __init__(self):
        self.start = self.end = 0
        self.latencies: list[tuple[int, float]] = []
        self.finished: list[int] = []
        self.evicted: list[int] = []
        self.marks: list[Mark] = []
        self._vms = frozenset()
        self._vm_version = 0
        self._owners = {}
        self._pending_writes = {}

    def add(self, event, produced) -> None:
        """Adds one event and the effects that it produced."""
        self.end = event.at
        if isinstance(event, events.NodeStarted):
            self.start = event.at
        elif isinstance(event, events.VmListRead):
            self._on_vm_list(event)
        elif isinstance(event, events.TableAnswered):
            self._on_table_answer(event)
        for effect in produced:
            if isinstance(effect, effect_types.Measure):
                self._on_measurement(effect)
            elif isinstance(effect, effect_types.CommitTable):
                self._pending_writes[effect.op_id] = effect.writes

    def _on_table_answer(self, event):
        writes = self._pending_writes.pop(event.op_id, ())
        if event.status == "committed":
            for write in writes:
                self._on_row(write.key, write.value)
        for row in event.rows:
            self._on_row(row.key, row.value)

    def _on_vm_list(self, event):
        if event.version <= self._vm_version:
            return
        self._vm_version = event.version
        listed = frozenset(vm.vm for vm in event.vms)
        for worker in sorted(self._vms - listed):
            self.marks.append(Mark(self.end, "worker lost", worker))
        self._vms = listed

    def _on_row(self, key, value):
        if not key.startswith("partition/") or not value:
            return
        partition = key.removeprefix("partition/")
        owner = value.get("owner", "")
        epoch = value.get("epoch", 0)
        known_owner, known_epoch = self._owners.get(partition, ("", 0))
        if epoch <= known_epoch:
            return
        self._owners[partition] = (owner, epoch)
        if known_owner and owner and owner != known_owner:
            text = f"{partition} from {known_owner} to {owner}"
            self.marks.append(Mark(self.end, "take-over", text))

    def _on_measurement(self, effect):
        if effect.name == "skylarklug.request.duration":
            self.latencies.append((self.end, effect.value * 1000))
        elif effect.name == "skylarklug.tasks.finished":
            self.finished += [self.end] * int(effect.value)
        elif effect.name == "skylarklug.tasks.evicted":
            self.evicted += [self.end] * int(effect.value)
        elif effect.name == "skylarklug.config.version":
            text = f"version {int(effect.value)}"
            self.marks.append(Mark(self.end, "configuration", text))


def collect(stream) -> Series:
    """Replays a trace and returns its measurements.

    Args:
        stream: Binary file that holds the trace.

    Raises:
        TraceError: The trace is damaged or of an unsupported version.
    """
    state = api.new_state()
    series = Series()
    for event in trace.read(stream):
        series.add(event, api.reduce(state, event))
    return series


def quantile(ordered, fraction: float) -> float:
    """Returns the nearest-rank quantile of sorted values."""
    rank = -(-len(ordered) * fraction // 1)
    return ordered[max(0, int(rank) - 1)]


def _interval_edges(series):
    length = max(1, series.end - series.start) / INTERVAL_COUNT
    return [
        series.start + length * index for index in range(INTERVAL_COUNT + 1)
    ]


def _count_per_interval(times, edges):
    counts = [0] * INTERVAL_COUNT
    for at in times:
        index = bisect.bisect_right(edges, at) - 1
        counts[min(max(index, 0), INTERVAL_COUNT - 1)] += 1
    return counts


def _seconds_since_start(series, at):
    return (at - series.start) / 1000


def _plot_latency(axes, series, edges):
    groups = collections.defaultdict(list)
    for at, milliseconds in series.latencies:
        index = min(bisect.bisect_right(edges, at) - 1, INTERVAL_COUNT - 1)
        groups[max(index, 0)].append(milliseconds)
    times = [
        _seconds_since_start(series, edges[index]) for index in sorted(groups)
    ]
    for fraction in QUANTILES:
        values = [
            quantile(sorted(groups[index]), fraction)
            for index in sorted(groups)
        ]
        axes.plot(times, values, marker=".", label=f"p{fraction * 100:g}")
    axes.set_ylabel("request latency (ms)")


def _plot_counts(axes, series, edges, times, label):
    width = (edges[1] - edges[0]) / 1000
    starts = [_seconds_since_start(series, edge) for edge in edges[:-1]]
    counts = _count_per_interval(times, edges)
    axes.bar(starts, counts, width=width, align="edge", label=label)
    axes.set_ylabel(f"{label} per {width:.2g} s")


def _plot(series) -> str:
    edges = _interval_edges(series)
    with rc_context(SVG_SETTINGS):
        plot_figure = figure.Figure(figsize=(10, 9), layout="constrained")
        backend_svg.FigureCanvasSVG(plot_figure)
        axes = plot_figure.subplots(3, sharex=True)
        _plot_latency(axes[0], series, edges)
        _plot_counts(axes[1], series, edges, series.finished, "tasks finished")
        _plot_counts(axes[2], series, edges, series.evicted, "evictions")
        for ax in axes:
            labelled = set()
            for mark in series.marks:
                ax.axvline(
                    _seconds_since_start(series, mark.at),
                    color=MARK_COLOURS[mark.kind],
                    linestyle=":",
                    label=mark.kind if mark.kind not in labelled else None,
                )
                labelled.add(mark.kind)
            ax.set_ylim(bottom=0)
            ax.legend(loc="upper right", fontsize="small")
        axes[-1].set_xlim(
            0, max(0.001, _seconds_since_start(series, series.end))
        )
        axes[-1].set_xlabel("time since the start of the node (s)")
        buffer = io.StringIO()
        plot_figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    # An HTML page must not contain the XML prologue.
    return text[text.index("<svg") :]


def _table(headers, rows):
    lines = ["<table>", "<tr>"]
    lines += [f"<th>{html.escape(name)}</th>" for name in headers]
    lines.append("</tr>")
    for row in rows:
        cells = [f"<td>{html.escape(str(cell))}</td>" for cell in row]
        lines.append("<tr>" + "".join(cells) + "</tr>")
    lines.append("</table>")
    return "\n".join(lines)


def render(series: Series, title: str) -> str:
    """Returns a self-contained HTML page."""
    ordered = sorted(value for _, value in series.latencies)
    totals = [("requests", len(ordered))]
    for fraction in QUANTILES if ordered else ():
        value = f"{quantile(ordered, fraction):.0f} ms"
        totals.append((f"latency p{fraction * 100:g}", value))
    totals.append(("tasks finished", len(series.finished)))
    totals.append(("evictions", len(series.evicted)))
    marks = [
        (f"{_seconds_since_start(series, mark.at):.3f}", mark.kind, mark.text)
        for mark in series.marks
    ]
    title = html.escape(title)
    return "\n".join(
        [
            "<!DOCTYPE html>",
            '<html lang="en"><head><meta charset="utf-8">',
            f"<title>{title}</title>",
            "<style>body{font-family:sans-serif}"
            "td,th{text-align:left;padding:0 1em}</style>",
            f"</head><body><h1>{title}</h1>",
            _table(("measure", "value"), totals),
            _plot(series),
            "<h2>Events</h2>",
            _table(("time (s)", "kind", "what"), marks),
            "</body></html>",
            "",
        ]
    )


def run(trace_path: str, to: str, write=print) -> int:
    """Writes the report on a trace; returns the exit code.

    Raises:
        BadInput: The trace cannot be read or the page cannot be written.
    """
    try:
        with open(trace_path, "rb") as stream:
            series = collect(stream)
        page = render(series, f"Trace {pathlib.Path(trace_path).name}")
        pathlib.Path(to).write_text(page, encoding="utf-8")
    except OSError as exc:
        raise exceptions.BadInput(
            f"{exc.filename}: {exc.strerror}", step="write report"
        ) from exc
    write(f"wrote {to}")
    return 0
