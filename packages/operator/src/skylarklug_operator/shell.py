"""Interactive shell with history, completion and help."""

import prompt_toolkit
from prompt_toolkit import completion
from prompt_toolkit import history

from skylarklug import query

HELP_COMMANDS = frozenset({"help", "?"})
EXIT_COMMANDS = frozenset({"exit", "quit"})


def run(execute, write=print) -> int:
    """Reads commands until the end of input; returns the last exit code.

    Args:
        execute: Runs one command line and returns its exit code.
        write: Prints a text.
    """
    session = prompt_toolkit.PromptSession(
        history=history.InMemoryHistory(),
        completer=completion.WordCompleter(
            query.completion_words(), ignore_case=True
        ),
    )
    code = 0
    while True:
        try:
            text = session.prompt("skylarklug> ").strip()
        except KeyboardInterrupt:
            continue
        except EOFError:
            return code
        if not text:
            continue
        if text in EXIT_COMMANDS:
            return code
        if text in HELP_COMMANDS:
            write(query.HELP)
            continue
        code = execute(text)
