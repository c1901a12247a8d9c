"""Tests of the command line and its exit codes."""

import json

import pytest
from tests.operator import support

from skylarklug_operator import main
from skylarklug_operator import shell


@pytest.fixture
def node():
    with support.serve((200, {"status": "done", "rows": []})) as served:
        yield served


@pytest.fixture
def call(node):
    def run(*args):
        return main.main(["--node", node.address, "--token", "t", *args])

    return run


class TestExitCodes:
    @pytest.mark.parametrize(
        ("status", "code"),
        [
            ("done", 0),
            ("not-met", 1),
            ("bad-input", 2),
            ("conflict", 3),
            ("unavailable", 4),
            ("not-allowed", 5),
            ("status of a later version", 4),
        ],
    )
    def test_code_of_each_status(self, node, call, capsys, status, code):
        """Guards against a failure that scripts see as a success."""
        node.reply = (200, {"status": status, "message": "what happened"})
        assert call("tasks") == code
        assert capsys.readouterr().out == "what happened\n"

    def test_invalid_command_is_not_sent(self, node, call, capsys):
        """Guards against sending a misspelt command to a node."""
        assert call("taks") == 2
        assert "'tasks'" in capsys.readouterr().err
        assert node.received == []

    def test_no_reachable_node(self, capsys):
        """Guards against a traceback instead of an exit code."""
        with support.refusing_address() as unreachable:
            assert main.main(["--node", unreachable, "tasks"]) == 4
        assert unreachable in capsys.readouterr().err

    def test_malformed_answer(self, node, call, capsys):
        """Guards against a traceback instead of an exit code."""
        node.reply = (200, b"<html>")
        assert call("tasks") == 4
        assert "malformed answer" in capsys.readouterr().err

    def test_unknown_option(self, call, capsys):
        """Guards against an exit code other than 2 for incorrect usage."""
        with pytest.raises(SystemExit) as caught:
            call("tasks", "--no-such-option")
        assert caught.value.code == 2


class TestOptions:
    def test_options_reach_the_node(self, node, call):
        """Guards against a dry run or version check that is lost."""
        options = ("--dry-run", "--if-version", "3", "--key", "k")
        assert call(*options, "set", "drained", '["w-1"]') == 0
        (message,) = node.received
        assert message["command"] == 'set drained ["w-1"]'
        assert message["dry_run"] is True
        assert message["if_version"] == 3
        assert message["key"] == "k"
        assert message["token"] == "Bearer t"

    def test_options_after_the_command(self, node, call):
        """Guards against options that work only before the command."""
        assert call("drain", "w-1", "--dry-run", "--if-version", "2") == 0
        assert node.received[0]["command"] == "drain w-1"
        assert node.received[0]["dry_run"] is True
        assert node.received[0]["if_version"] == 2

    def test_changes_get_a_key_and_queries_none(self, node, call):
        """Guards against a change that two nodes execute after a retry."""
        for text in ("drain w-1", "drain w-1", "tasks"):
            call(*text.split())
        first, second, query_key = [m["key"] for m in node.received]
        assert first and second and first != second
        assert query_key == ""

    def test_json_output(self, node, call, capsys):
        """Guards against output that a program cannot parse."""
        body = {"status": "conflict", "winner": {"version": 2}}
        node.reply = (409, body)
        assert call("--output", "json", "rollback", "1") == 3
        assert json.loads(capsys.readouterr().out) == body

    def test_token_from_the_environment(self, node, monkeypatch):
        """Guards against a token that only the command line accepts."""
        monkeypatch.setenv("SKYLARKLUG_TOKEN", "from-environment")
        assert main.main(["--node", node.address, "tasks"]) == 0
        assert node.received[0]["token"] == "Bearer from-environment"


class TestSubmit:
    def test_file_is_sent_as_the_body(self, node, call, tmp_path):
        """Guards against sending the file name instead of its content."""
        path = tmp_path / "job.json"
        path.write_text('{"team": "a", "tasks": 2}')
        assert call("--key", "night", "submit", str(path)) == 0
        (message,) = node.received
        assert message["command"] == "submit -"
        assert message["body"] == {"team": "a", "tasks": 2}
        assert message["key"] == "night"

    @pytest.mark.parametrize("content", [None, "", "{", "[]", "7"])
    def test_missing_or_malformed_file(
        self, node, call, tmp_path, capsys, content
    ):
        """Guards against submitting a file that does not hold a job."""
        path = tmp_path / "job.json"
        if content is not None:
            path.write_text(content)
        assert call("submit", str(path)) == 2
        assert str(path) in capsys.readouterr().err
        assert node.received == []

    def test_file_in_another_encoding(self, node, call, tmp_path, capsys):
        """Guards against a traceback for a binary file."""
        path = tmp_path / "job.json"
        path.write_bytes(b"\xff\xfe")
        assert call("submit", str(path)) == 2
        assert str(path) in capsys.readouterr().err
        assert node.received == []


class TestWatch:
    def test_runs_as_often_as_times_says(self, node, call, capsys):
        """Guards against a watch that never ends in a script."""
        code = call("--interval", "0", "watch", "tasks", "--times", "2")
        assert code == 0
        assert [m["command"] for m in node.received] == ["tasks", "tasks"]
        assert capsys.readouterr().out == "(no rows)\n" * 2

    def test_code_is_that_of_the_last_answer(self, node, call):
        """Guards against a watch that hides a failure."""
        node.reply = (503, {"status": "unavailable", "message": "m"})
        assert call("--interval", "0", "--times", "2", "watch", "tasks") == 4


class TestMain:
    def test_shell_without_a_command(self, node, call, monkeypatch):
        """Guards against a shell that does not pass options to its commands."""
        texts = []

        def run(execute):
            texts.append(execute("nodes"))
            return 3

        monkeypatch.setattr(shell, "run", run)
        assert call() == 3
        assert texts == [0]
        assert node.received[0]["token"] == "Bearer t"

    @pytest.mark.parametrize("args", [["replay"], ["replay", "a", "b"]])
    def test_replay_takes_one_trace(self, args, capsys):
        """Guards against a second trace that is ignored."""
        assert main.main(args) == 2
        assert "one trace" in capsys.readouterr().err

    def test_replay_without_its_file(self, tmp_path, capsys):
        """Guards against a traceback for a missing file."""
        path = str(tmp_path / "absent.trace")
        assert main.main(["replay", path]) == 2
        assert path in capsys.readouterr().err
