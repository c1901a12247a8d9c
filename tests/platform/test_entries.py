"""Entries of other writers must name no worker, and hide no other entry."""

import base64
import json

import hypothesis
from hypothesis import strategies as st
import odd_entries
import orjson
import pytest
from skylarklug_platform import store
from skylarklug_platform import wire

from skylarklug.scheduler import records
from skylarklug.scheduler import scoring
from skylarklug.scheduler import state


def row(key, value):
    return {"key": key, "value": base64.b64encode(value).decode()}


class Log:
    def __init__(self):
        self.lines = []

    def __call__(self, level, event, fields):
        self.lines.append((event, fields))


def decode(rows, whole=True):
    (event,) = store.rows_decoder(Log())(9, "workers", whole, rows)
    return event


def short_id(value):
    return repr(value)[:60]


class TestOddEntries:
    def test_documented_entry_is_used(self):
        """Guards against workers that are not used because their entries are
        checked for more than is documented."""
        minimal = {
            name: odd_entries.ENTRY[name]
            for name in ("service", "addr", "zone")
        }
        minimal.update(state="draining", room={"cpu": 5.0}, labels=["a", "r"])
        rows = [
            row("w1", odd_entries.raw()),
            row("w2", odd_entries.raw(state="draining", remaining_ms=812.5)),
            row("w3", json.dumps(minimal).encode()),
        ]
        event = decode(rows)
        assert [entry.worker for entry in event.entries] == ["w1", "w2", "w3"]
        assert event.entries[0].incarnation == 1_790_000_000_000
        assert event.entries[1].remaining_ms == 812
        assert event.entries[2].capacity == (5, 0, 0)
        assert event.removed == ()

    @pytest.mark.parametrize("value", odd_entries.ODD_VALUES, ids=short_id)
    def test_odd_entry_names_no_worker_and_hides_no_other(self, value):
        """Guards against one odd entry that ends the reading of all entries,
        or that is passed on as a worker."""
        rows = [
            row("w1", odd_entries.raw()),
            row("odd", value),
            row("w2", odd_entries.raw()),
        ]
        event = decode(rows)
        assert [entry.worker for entry in event.entries] == ["w1", "w2"]
        assert event.removed == ("odd",)

    @pytest.mark.parametrize("odd", odd_entries.ODD_ROWS, ids=short_id)
    def test_odd_row_hides_no_other(self, odd):
        """Guards against one odd row that ends the reading of all entries."""
        event = decode(
            [row("w1", odd_entries.raw()), odd, row("w2", odd_entries.raw())]
        )
        assert [entry.worker for entry in event.entries] == ["w1", "w2"]
        assert set(event.removed) <= {"odd"}

    def test_several_odd_entries_at_once(self):
        """Guards against odd entries that are harmless only one at a time."""
        rows = [row("w1", odd_entries.raw()), *odd_entries.ODD_ROWS]
        for number, value in enumerate(odd_entries.ODD_VALUES):
            rows.append(row(f"odd{number}", value))
        rows.append(row("w2", odd_entries.raw()))
        event = decode(rows)
        assert [entry.worker for entry in event.entries] == ["w1", "w2"]
        assert len(event.removed) == len(odd_entries.ODD_VALUES) + 1

    def test_last_row_of_a_worker_counts(self):
        """Guards against a worker that is not used because an answer has an odd
        entry of it, or its removal, before the good one."""
        good = row("w1", odd_entries.raw())
        gone = {"key": "w1", "tombstone": True}
        odd = row("w1", b"{}")
        for former in (gone, odd):
            event = decode([former, good], whole=False)
            assert len(event.entries) == 1
            assert event.removed == ()
            event = decode([good, former], whole=False)
            assert event.entries == ()
            assert event.removed == ("w1",)

    def test_unchanged_odd_entry_is_logged_once(self):
        """Guards against a log line for each second of an odd entry that is
        written again and again."""
        log = Log()
        decode = store.rows_decoder(log)
        for seq in range(100):
            rows = [
                row("w1", odd_entries.raw(born=-1, seq=seq)),
                row("w2", odd_entries.raw(seq=seq)),
            ]
            decode(seq, "workers", seq % 10 == 0, [*rows, None])
        assert len(log.lines) == 2
        decode(100, "workers", False, [row("w1", odd_entries.raw(labels=5))])
        assert len(log.lines) == 3
        decode(101, "workers", False, [row("w1", odd_entries.raw())])
        decode(102, "workers", False, [row("w1", odd_entries.raw(labels=5))])
        assert len(log.lines) == 4
        for _, fields in log.lines:
            assert len(repr(fields)) < 500


STEP = records.Step(1, records.Resources(1_000, 100, 1), 1_000)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(
        [1e308, -1e308, 2**63, 2**64, "ready", "draining", "10.0.0.1:80"]
    )
    | st.text(max_size=20),
    lambda values: (
        st.lists(values, max_size=4)
        | st.dictionaries(st.text(max_size=8), values, max_size=4)
        | st.dictionaries(st.sampled_from(["cpu", "mem_mb", "gpus"]), values)
    ),
    max_leaves=8,
)


class TestAnyEntry:
    @hypothesis.given(
        st.one_of(
            JSON_VALUES.map(lambda value: json.dumps(value).encode()),
            st.dictionaries(
                st.sampled_from([*odd_entries.ENTRY, "remaining_ms"]),
                JSON_VALUES,
            ).map(lambda fields: odd_entries.raw(**fields)),
            st.binary(max_size=50),
        )
    )
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_any_entry_is_decoded_to_what_fits_into_a_row(self, value):
        """Guards against an entry that passes as a worker although a row of the
        scheduler cannot hold what it says."""
        event = decode([row("odd", value), row("w1", odd_entries.raw())])
        assert event.entries[-1].worker == "w1"
        for entry in event.entries:
            fields = {**entry._asdict(), "capacity": list(entry.capacity)}
            orjson.loads(wire.encode(fields))
            assert scoring.fits(state.Worker(entry), STEP) in (True, False)
            assert min(entry.capacity) >= 0
            assert max(entry.capacity) <= 10**9
            assert all(type(amount) is int for amount in entry.capacity)
            assert 0 <= entry.incarnation < 10**13
            host, _, port = entry.address.partition(":")
            assert 0 < int(port) <= 65_535
            assert len(host.split(".")) == 4
