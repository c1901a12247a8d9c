"""Tests of the interactive shell, with a pipe as its input."""

import prompt_toolkit
from prompt_toolkit import application
from prompt_toolkit import completion
from prompt_toolkit import document
from prompt_toolkit import input as input_lib
from prompt_toolkit import output
import pytest

from skylarklug import query
from skylarklug_operator import shell

END_OF_INPUT = "\x04"
INTERRUPT = "\x03"


@pytest.fixture
def run():
    """Returns a function that types a text into the shell.

    It returns the exit code, the commands that ran and the printed texts.
    """

    def type_text(text, codes=()):
        commands, written = [], []
        remaining_codes = list(codes)

        def execute(command):
            commands.append(command)
            return remaining_codes.pop(0) if remaining_codes else 0

        with (
            input_lib.create_pipe_input() as pipe,
            application.create_app_session(
                input=pipe, output=output.DummyOutput()
            ),
        ):
            pipe.send_text(text)
            code = shell.run(execute, written.append)
        return code, commands, written

    return type_text


class TestShell:
    @pytest.mark.parametrize("end", [END_OF_INPUT, "exit\r", "quit\r"])
    def test_runs_each_command_until_the_end(self, run, end):
        """Guards against a shell that does not exit."""
        assert run("tasks\r  nodes  \r" + end) == (0, ["tasks", "nodes"], [])

    def test_returns_the_last_exit_code(self, run):
        """Guards against piped commands whose failure is not reported."""
        code, _, _ = run("tasks\rnodes\r" + END_OF_INPUT, [2, 4])
        assert code == 4

    def test_empty_line_and_interrupt_run_nothing(self, run):
        """Guards against running an interrupted line."""
        code, commands, _ = run("\r   \rdrain w-1" + INTERRUPT + END_OF_INPUT)
        assert (code, commands) == (0, [])

    @pytest.mark.parametrize("command", ["help", "?"])
    def test_help(self, run, command):
        """Guards against help that is sent to a node."""
        assert run(command + "\r" + END_OF_INPUT) == (0, [], [query.HELP])

    def test_history_and_completion(self, run, monkeypatch):
        """Guards against a session without history or completion."""
        sessions = []

        class Session(prompt_toolkit.PromptSession):
            def __init__(self, **options):
                super().__init__(**options)
                sessions.append(self)

        monkeypatch.setattr(prompt_toolkit, "PromptSession", Session)
        run("tasks\rnodes\r" + END_OF_INPUT)
        (session,) = sessions
        assert session.history.get_strings() == ["tasks", "nodes"]
        found = session.completer.get_completions(
            document.Document("UNDR"), completion.CompleteEvent()
        )
        assert [item.text for item in found] == ["undrain"]
