"""Page with plots of a recorded trace: latency, finished tasks, evictions.

The trace is replayed, because measurements are effects and a trace holds
events only.
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

INTERVALS = 40
QUANTILES = (0.5, 0.95, 0.99)
MARK_COLOURS = {
    "configuration": "tab:green",
    "take-over": "tab:purple",
    "worker lost": "tab:red",
}
# Fixed identifiers and no date, so that a trace always gives the same page.
SVG_SETTINGS = {"svg.hashsalt": "skylarklug", "svg.fonttype": "none"}


class Mark(NamedTuple):
    """Something that happened: its time, kind and description."""

    at: int
    kind: str
    text: str


class Series:
    """What a trace says about the three measures.

    Attributes:
        start, end: Times of the first and the last event in milliseconds.
        latencies: (time, milliseconds) of each request when it ended.
        finished: Time of each finished task.
        evicted: Time of each eviction.
        marks: Events to show beside the measures.
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
        self._commits = {}

    def add(self, event, produced) -> None:
        """Takes one event and the effects that it produced."""
        self.end = event.at
        if isinstance(event, events.NodeStarted):
            self.start = event.at
        elif isinstance(event, events.VmListRead):
            self._vm_list_read(event)
        elif isinstance(event, events.TableAnswered):
            self._table_answered(event)
        for effect in produced:
            if isinstance(effect, effect_types.Measure):
                self._measured(effect)
            elif isinstance(effect, effect_types.CommitTable):
                self._commits[effect.op_id] = effect.writes

    def _table_answered(self, event):
        writes = self._commits.pop(event.op_id, ())
        if event.status == "committed":
            for write in writes:
                self._row_seen(write.key, write.value)
        for row in event.rows:
            self._row_seen(row.key, row.value)

    def _vm_list_read(self, event):
        if event.version <= self._vm_version:
            return
        self._vm_version = event.version
        listed = frozenset(vm.vm for vm in event.vms)
        for worker in sorted(self._vms - listed):
            self.marks.append(Mark(self.end, "worker lost", worker))
        self._vms = listed

    def _row_seen(self, key, value):
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

    def _measured(self, effect):
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
    """Replays a trace and returns its measures.

    Args:
        stream: Binary file of a trace.

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


def _edges(series):
    length = max(1, series.end - series.start) / INTERVALS
    return [series.start + length * index for index in range(INTERVALS + 1)]


def _per_interval(times, edges):
    counts = [0] * INTERVALS
    for at in times:
        index = bisect.bisect_right(edges, at) - 1
        counts[min(max(index, 0), INTERVALS - 1)] += 1
    return counts


def _seconds(series, at):
    return (at - series.start) / 1000


def _plot_latency(axes, series, edges):
    groups = collections.defaultdict(list)
    for at, milliseconds in series.latencies:
        index = min(bisect.bisect_right(edges, at) - 1, INTERVALS - 1)
        groups[max(index, 0)].append(milliseconds)
    times = [_seconds(series, edges[index]) for index in sorted(groups)]
    for fraction in QUANTILES:
        values = [
            quantile(sorted(groups[index]), fraction)
            for index in sorted(groups)
        ]
        axes.plot(times, values, marker=".", label=f"p{fraction * 100:g}")
    axes.set_ylabel("request latency (ms)")


def _plot_counts(axes, series, edges, times, label):
    width = (edges[1] - edges[0]) / 1000
    starts = [_seconds(series, edge) for edge in edges[:-1]]
    counts = _per_interval(times, edges)
    axes.bar(starts, counts, width=width, align="edge", label=label)
    axes.set_ylabel(f"{label} per {width:.2g} s")


def _plot(series) -> str:
    edges = _edges(series)
    with rc_context(SVG_SETTINGS):
        drawing = figure.Figure(figsize=(10, 9), layout="constrained")
        backend_svg.FigureCanvasSVG(drawing)
        axes = drawing.subplots(3, sharex=True)
        _plot_latency(axes[0], series, edges)
        _plot_counts(axes[1], series, edges, series.finished, "tasks finished")
        _plot_counts(axes[2], series, edges, series.evicted, "evictions")
        for part in axes:
            labelled = set()
            for mark in series.marks:
                part.axvline(
                    _seconds(series, mark.at),
                    color=MARK_COLOURS[mark.kind],
                    linestyle=":",
                    label=mark.kind if mark.kind not in labelled else None,
                )
                labelled.add(mark.kind)
            part.set_ylim(bottom=0)
            part.legend(loc="upper right", fontsize="small")
        axes[-1].set_xlim(0, max(0.001, _seconds(series, series.end)))
        axes[-1].set_xlabel("time since the start of the node (s)")
        written = io.StringIO()
        drawing.savefig(written, format="svg", metadata={"Date": None})
    text = written.getvalue()
    # The XML prologue has no place inside a page.
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
    """Returns the page as HTML without references to other files."""
    ordered = sorted(value for _, value in series.latencies)
    totals = [("requests", len(ordered))]
    for fraction in QUANTILES if ordered else ():
        value = f"{quantile(ordered, fraction):.0f} ms"
        totals.append((f"latency p{fraction * 100:g}", value))
    totals.append(("tasks finished", len(series.finished)))
    totals.append(("evictions", len(series.evicted)))
    marks = [
        (f"{_seconds(series, mark.at):.3f}", mark.kind, mark.text)
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
    """Writes the report of a trace; returns the exit code.

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
