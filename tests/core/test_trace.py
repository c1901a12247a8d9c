"""Tests of the trace format and of replays."""

import io
import types
import typing

import cbor2
import pytest
from tests.core import fakes

from skylarklug import api
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import exceptions
from skylarklug import reducer
from skylarklug import trace

EVENT_TYPES = [
    event_type
    for event_type in vars(events).values()
    if isinstance(event_type, type)
    and "at" in getattr(event_type, "_fields", ())
]
SAMPLES = {int: 7, str: "text", bool: True, float: 1.5, bytes: b"\x00\xff"}


def sample(annotation):
    """Returns a value of an annotated type, with nested values filled."""
    if annotation in SAMPLES:
        return SAMPLES[annotation]
    if annotation is typing.Any:
        return {"nested": [1, "two", None]}
    origin, args = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is tuple:
        if args[-1] is Ellipsis:
            return (sample(args[0]), sample(args[0]))
        return tuple(sample(arg) for arg in args)
    if origin in (types.UnionType, typing.Union):
        return sample(args[0])
    if origin is not None:
        return {"key": sample(args[1])}
    hints = typing.get_type_hints(annotation)
    return annotation(*(sample(hints[name]) for name in annotation._fields))


def encode(stream):
    items = [trace.encode_event(event) for event in stream]
    return trace.encode_header() + b"".join(items)


def read(data):
    return list(trace.read(io.BytesIO(data)))


class RecordingSim(fakes.Sim):
    """A simulation that records the events and effects of one node."""

    def __init__(self, seed, **options):
        self.data = [trace.encode_header()]
        self.digest = b""
        super().__init__(seed, **options)

    def feed(self, node, event):
        self.on_reduce = self.record
        super().feed(node, event)

    def record(self, state, event):
        produced = reducer.reduce(state, event)
        if state.node == "yumbo-0":
            self.data.append(trace.encode_event(event))
            self.digest = trace.digest(produced, self.digest)
        return produced


def record():
    """Records a short simulation; returns the trace and its digest."""
    sim = RecordingSim(11, nodes=2, count=6)
    for number in range(200):
        at = 20 + number * 10
        home = f"yumbo-{number % 2}"
        sim.at(at, sim.request, home, f"r{number}", 15, number % 5 > 0)
    sim.run(4000)
    return b"".join(sim.data), sim.digest.hex()


class TestFormat:
    @pytest.mark.parametrize(
        "event_type", EVENT_TYPES, ids=lambda t: t.__name__
    )
    def test_round_trip_of_every_event(self, event_type):
        """Guards against a field that is lost or changes its type."""
        event = sample(event_type)
        (found,) = read(encode([event]))
        assert type(found) is event_type
        assert found == event
        assert trace.encode_event(found) == trace.encode_event(event)

    @pytest.mark.parametrize("name", ["TableAnswered", "WorkerSynced"])
    def test_absent_optional_value(self, name):
        """Guards against None that is read back as an empty value."""
        event = sample(getattr(events, name))
        if name == "TableAnswered":
            event = event._replace(rows=(events.Row("k", 0, None),))
        else:
            event = event._replace(usage=None)
        assert read(encode([event])) == [event]

    def test_trace_ends_before_an_incomplete_last_item(self):
        """Guards against a trace that is unreadable after a crash."""
        data = encode([events.Tick(1), events.Tick(2)])
        item = len(trace.encode_event(events.Tick(2)))
        for missing in range(1, item):
            assert read(data[:-missing]) == [events.Tick(1)]

    @pytest.mark.parametrize(
        "item",
        [
            7,
            "Tick",
            ["Tick"],
            ["Tick", 5],
            ["Tick", []],
            ["Tick", ["soon"]],
            ["Tick", [1, 2]],
            ["NoSuchEvent", [1]],
            [["Tick"], [1]],
            ["Row", ["key", 1, None]],
        ],
        ids=str,
    )
    def test_item_that_is_not_an_event(self, item):
        """Guards against a damaged item that is replayed as an event."""
        data = encode([events.Tick(1)]) + cbor2.dumps(item)
        with pytest.raises(exceptions.TraceError, match="item 2"):
            read(data)

    @pytest.mark.parametrize(
        "header",
        [
            b"",
            trace.encode_header()[:-1],
            trace.encode_event(events.Tick(1)),
            cbor2.dumps({"format": trace.FORMAT, "version": 2}),
        ],
        ids=["empty", "cut", "event", "version"],
    )
    def test_wrong_header(self, header):
        """Guards against reading a file of another format or version."""
        with pytest.raises(exceptions.TraceError, match="header"):
            read(header)

    def test_damaged_bytes(self):
        """Guards against a decoder error that reaches the user."""
        data = encode([events.Tick(1)]) + b"\x1c" + encode([events.Tick(2)])
        with pytest.raises(exceptions.TraceError, match="item 2"):
            read(data)


class TestReplay:
    def test_replay_has_the_digest_of_the_run(self):
        """Guards against decisions that depend on more than the events."""
        data, expected = record()
        first = api.replay(io.BytesIO(data))
        second = api.replay(io.BytesIO(data))
        assert first == second
        assert first.digest == expected
        assert first.counts["requests"] == 100
        assert first.violations == []

    def test_digest_depends_on_every_effect(self):
        """Guards against a digest that does not cover some effects."""
        data, _ = record()
        stream = read(data)
        arrived = [type(e) is events.RequestArrived for e in stream]
        del stream[arrived.index(True)]
        whole = api.replay(io.BytesIO(data))
        changed = api.replay(io.BytesIO(encode(stream)))
        assert whole.digest != changed.digest


class TestIncompatibleTrace:
    def test_answer_to_another_read_is_an_error(self):
        """Guards against an internal error for answers that do not match.

        A trace of other decisions, such as those of another release, holds
        answers that do not match the reads of the replay.
        """
        started = events.NodeStarted(0, "n", "dc", "r", 1, 1, {})
        reads = []
        state = reducer.new_state()
        for event in (started, events.Tick(50), events.Tick(100)):
            reads += [
                effect
                for effect in reducer.reduce(state, event)
                if isinstance(effect, fx.ReadTable)
            ]
        row = events.Row(reads[0].keys[0] if reads[0].keys else "x", 1, {})
        answers = [
            events.TableAnswered(150, read.op_id, "read", 1, (row,))
            for read in reads
        ]
        recorded = [started, events.Tick(50), events.Tick(100), *answers]
        stream = io.BytesIO(
            trace.encode_header()
            + b"".join(trace.encode_event(event) for event in recorded)
        )
        with pytest.raises(exceptions.TraceError, match="does not fit"):
            api.replay(stream)
