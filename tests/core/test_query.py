"""Tests of the operator language."""

import pytest

from skylarklug import exceptions
from skylarklug import query
from skylarklug import rows as rows_lib

ROWS = [
    {"task": "a.x/0", "job": "a.x", "state": "running", "worker": "w-07"},
    {"task": "a.x/1", "job": "a.x", "state": "pending", "worker": None},
    {"task": "b.y/0", "job": "b.y", "state": "running", "worker": "w-10"},
    {"task": "b.y/1", "job": "b.y", "state": "running", "worker": "w-07"},
]


def select(text):
    return [row["task"] for row in rows_lib.select(query.parse(text), ROWS)]


class TestParse:
    @pytest.mark.parametrize(
        ("text", "nearest"),
        [
            ("taks", "tasks"),
            ("tasks where wrker=x", "worker"),
            ("tasks sort by evction", "evictions"),
            ("tasks where state=running limt 3", "limit"),
            ("drian w-1", "drain"),
        ],
    )
    def test_misspelled_word_suggests_the_nearest(self, text, nearest):
        """Guards against syntax errors without a suggestion."""
        with pytest.raises(exceptions.BadInput, match=repr(nearest)):
            query.parse(text)

    @pytest.mark.parametrize(
        "text",
        ["", "drain", "tasks where", "why task", "set a.b", "rollback now",
         "watch drain w-1", "nodes status", "tasks where (state=running"],
    )  # fmt: skip
    def test_incomplete_or_invalid_command_is_refused(self, text):
        """Guards against a partial command that is read as another one."""
        with pytest.raises(exceptions.BadInput):
            query.parse(text)

    def test_keyword_inside_a_name_is_not_a_keyword(self):
        """Guards against `order-7` being read as the keyword `or`."""
        statement = query.parse("cancel order-7.by.limit")
        assert statement == query.Cancel("order-7.by.limit")

    def test_set_takes_json_and_words(self):
        """Guards against a number that arrives as text."""
        assert query.parse("set a.b 500").value == 500
        assert query.parse('set drained ["w-1"]').value == ["w-1"]
        assert query.parse("set a.b some text").value == "some text"

    def test_only_changes_need_the_write_role(self):
        """Guards against a change that a read token could make."""
        for text in ("submit f", "cancel j", "drain w", "undrain w",
                     "set a 1", "rollback 1", "move j p"):  # fmt: skip
            assert query.changes_state(query.parse(text)), text
        for text in ("tasks", "count jobs", "why task t", "config status"):
            assert not query.changes_state(query.parse(text)), text


class TestSelect:
    def test_condition(self):
        """Guards against wrong precedence of and, or and not."""
        assert select("tasks where worker=w-07 and state=running") == [
            "a.x/0",
            "b.y/1",
        ]
        assert select("tasks where job=a.x or job=b.y and not worker=w-07") == [
            "a.x/0",
            "a.x/1",
            "b.y/0",
        ]
        assert select("tasks where (job=a.x or job=b.y) and worker~10") == [
            "b.y/0"
        ]

    def test_sort_and_limit(self):
        """Guards against rows without a value sorting before all others."""
        assert select("tasks sort by worker limit 3") == [
            "a.x/0",
            "b.y/1",
            "b.y/0",
        ]

    def test_count_by_field(self):
        """Guards against a count that ignores the condition."""
        statement = query.parse("count tasks where state=running by worker")
        assert rows_lib.count(statement, ROWS) == [
            {"worker": "w-07", "count": 2},
            {"worker": "w-10", "count": 1},
        ]

    def test_numbers_compare_as_numbers(self):
        """Guards against 9 sorting after 10."""
        rows = [{"job": "a", "priority": 9}, {"job": "b", "priority": 10}]
        statement = query.parse("jobs where priority>=10")
        assert [row["job"] for row in rows_lib.select(statement, rows)] == ["b"]
