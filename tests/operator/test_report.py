"""Tests of the report, on the traces of tests/features."""

import pathlib
from xml.etree import ElementTree

import pytest

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import trace
from skylarklug_operator import main
from skylarklug_operator import report

TRACES = pathlib.Path(__file__).parents[1] / "features" / "traces"


def collect(name):
    with open(TRACES / f"{name}.trace", "rb") as stream:
        return report.collect(stream)


class TestCollect:
    def test_latency_of_every_request(self):
        """Guards against requests that are missing from the plot."""
        arrivals, expected = {}, []
        with open(TRACES / "planned-stop.trace", "rb") as stream:
            for event in trace.read(stream):
                if isinstance(event, events.RequestArrived):
                    arrivals[event.req_id] = event.at
                elif isinstance(event, events.RequestClosed):
                    latency = event.at - arrivals[event.req_id]
                    expected.append((event.at, float(latency)))
        assert len(expected) == 250
        latencies = collect("planned-stop").latencies
        found = [(at, round(latency, 6)) for at, latency in latencies]
        assert found == expected

    def test_lost_worker(self):
        """Guards against a worker loss that is not shown."""
        series = collect("lost-worker")
        assert len(series.finished) == 12
        lost = [mark for mark in series.marks if mark.kind == "worker lost"]
        assert [(mark.at, mark.text) for mark in lost] == [(9500, "w-1")]

    def test_take_over(self):
        """Guards against a change of owner that is not shown."""
        marks = collect("lost-node").marks
        texts = [mark.text for mark in marks if mark.kind == "take-over"]
        assert texts == ["yumbo/0 from yumbo-1 to yumbo-2"]

    def test_configuration_versions(self):
        """Guards against a version that is shown twice or not at all."""
        marks = collect("configuration").marks
        texts = [mark.text for mark in marks if mark.kind == "configuration"]
        assert texts == [f"version {number}" for number in range(1, 6)]

    def test_evictions(self):
        """Guards against evictions counted as finished tasks."""
        series = report.Series()
        evicted = fx.Measure("skylarklug.tasks.evicted", 2, {})
        series.add(events.Tick(70), [evicted])
        assert series.evicted == [70, 70]
        assert series.finished == []

    def test_rejected_claim_is_no_take_over(self):
        """Guards against showing a node as owner although its claim was not
        committed."""
        series = report.Series()

        def row(owner, epoch):
            return {"owner": owner, "epoch": epoch}

        known = events.Row("partition/yumbo/0", 1, row("yumbo-1", 1))
        claim = fx.Write("partition/yumbo/0", row("yumbo-2", 2))
        commit = fx.CommitTable("claim", (), (claim,), 1000)
        series.add(events.TableAnswered(1, "read", "read", 1, (known,)), [])
        series.add(events.Tick(2), [commit])
        rejected = events.TableAnswered(3, "claim", "conflict", 1, (known,))
        series.add(rejected, [])
        assert series.marks == []


class TestQuantile:
    @pytest.mark.parametrize(
        ("fraction", "expected"), [(0.5, 50), (0.95, 95), (0.99, 99), (1, 100)]
    )
    def test_nearest_rank(self, fraction, expected):
        """Guards against a quantile that is off by one."""
        assert report.quantile(list(range(1, 101)), fraction) == expected

    def test_one_value(self):
        """Guards against a negative index for a small fraction."""
        assert report.quantile([7], 0.01) == 7


class TestPage:
    @pytest.fixture
    def page(self, tmp_path):
        def write(name):
            to = tmp_path / "page.html"
            path = str(TRACES / f"{name}.trace")
            assert main.main(["report", path, "--to", str(to)]) == 0
            return to.read_text(encoding="utf-8")

        return write

    @pytest.mark.parametrize("name", ["lost-node", "planned-stop"])
    def test_plots_and_totals(self, page, name):
        """Guards against plots that are incomplete or not well-formed SVG."""
        text = page(name)
        svg = text[text.index("<svg") : text.index("</svg>") + len("</svg>")]
        svg_root = ElementTree.fromstring(svg)
        ids = {node.get("id") for node in svg_root.iter()}
        assert {"axes_1", "axes_2", "axes_3"} <= ids
        labels = "".join(svg_root.itertext())
        for label in ("request latency", "tasks finished", "evictions"):
            assert label in labels
        assert "src=" not in text

    def test_events_and_values(self, page):
        """Guards against a page without the tables of totals and events."""
        text = page("lost-node")
        assert "<td>yumbo/0 from yumbo-1 to yumbo-2</td>" in text
        assert "<td>tasks finished</td><td>12</td>" in text
        assert "<td>requests</td><td>250</td>" in page("planned-stop")

    def test_same_trace_same_page(self, page):
        """Guards against a date or random identifiers on the page."""
        assert page("lost-node") == page("lost-node")

    def test_text_is_escaped(self):
        """Guards against text from a trace that is interpreted as HTML."""
        series = report.Series()
        series.marks.append(report.Mark(0, "worker lost", "<script>"))
        text = report.render(series, "<b>")
        assert "<script>" not in text
        assert "<b>" not in text

    def test_wrong_use(self, tmp_path, capsys):
        """Guards against a traceback for unusable files or arguments."""
        recorded = str(TRACES / "lost-node.trace")
        absent = str(tmp_path / "absent" / "page.html")
        to = str(tmp_path / "page.html")
        damaged = tmp_path / "damaged.trace"
        damaged.write_bytes(b"\x1c")
        for args, text in (
            (["report", recorded], "--to"),
            (["report", "--to", to], "one trace"),
            (["report", recorded, "--to", absent], absent),
            (["report", absent, "--to", to], absent),
            (["report", str(damaged), "--to", to], "header"),
        ):
            assert main.main(args) == 2
            assert text in capsys.readouterr().err
        assert not pathlib.Path(to).exists()
