"""Parser of the operator language.

Statements are plain data. `commands` executes them, and `rows` evaluates their
conditions.
"""

import difflib
import functools
import json
from typing import Any
from typing import NamedTuple

import lark

from skylarklug import exceptions

# Columns of each list, in the order of the table output.
FIELDS = {
    "jobs": (
        "job", "team", "kind", "class", "state", "priority", "partition",
        "tasks", "pending", "running", "finished", "failed", "cancelled",
        "version", "reason",
    ),
    "tasks": (
        "task", "job", "team", "kind", "state", "attempt", "worker",
        "partition", "progress", "evictions", "failures", "reason",
        "placement",
    ),
    "workers": (
        "worker", "data_centre", "rack", "state", "partition", "cpus",
        "memory_mb", "accelerators", "free_cpus", "free_memory_mb",
        "free_accelerators", "tasks", "slots", "services", "excluded",
    ),
    "racks": ("rack", "data_centre", "workers", "live", "leaving"),
    "data-centres": ("data_centre", "workers", "live", "leaving", "nodes"),
    "nodes": (
        "node", "data_centre", "region", "state", "reachable", "version",
        "partitions",
    ),
    "services": (
        "service", "node", "data_centre", "workers", "free_workers", "queue",
        "mean_ms", "p95_ms",
    ),
    "teams": (
        "team", "partition", "cpus", "memory_mb", "accelerators", "weight",
        "used_cpus", "used_memory_mb", "used_accelerators",
    ),
    "partitions": ("partition", "data_centre", "owner", "epoch", "mode"),
    "config": ("key", "value"),
}  # fmt: skip
LISTS = tuple(FIELDS)
EXPLAINABLE_KINDS = ("task", "job", "worker", "request", "service")
COMMANDS = (
    "count", "why", "submit", "cancel", "drain", "undrain", "set",
    "rollback", "move", "watch", "config status", "help",
)  # fmt: skip
# Rows in a listing without a limit, and the highest limit.
DEFAULT_LIMIT = 200
MAX_LIMIT = 10_000

HELP = """\
Lists:    jobs tasks workers racks data-centres nodes services teams
          partitions config
          LIST [where CONDITION] [sort by FIELD [desc]] [limit N]
          count LIST [where CONDITION] [by FIELD]
          CONDITION: FIELD = != < <= > >= ~ VALUE, and, or, not, ( )
          tasks where worker=w-07 and state=running
Reasons:  why task|job|worker|request|service ID
Changes:  submit FILE | cancel JOB | move JOB PARTITION
          drain WORKER | undrain WORKER
          set KEY VALUE | rollback VERSION
Other:    config status | watch LIST ... | help
"""

# Ends a keyword, so that the start of `order` is not read as `or`.
_WORD_END = r"(?![\w.\/:-])"
_KEYWORDS = (
    "count", "watch", "why", "submit", "cancel", "drain", "undrain", "set",
    "rollback", "move", "status", "help", "where", "and", "or", "not",
    "sort", "by", "limit",
)  # fmt: skip

_RULES = r"""
start: listing | counting | why | submit | cancel | drain | undrain
     | set | rollback | move | config_status | watch | help
listing: LIST where? order? limit?
counting: _COUNT LIST where? (_BY NAME)?
watch: _WATCH listing
why: _WHY KIND value
submit: _SUBMIT value
cancel: _CANCEL value
drain: _DRAIN value
undrain: _UNDRAIN value
set: _SET KEY REST
rollback: _ROLLBACK INT
move: _MOVE value value
config_status: LIST _STATUS
help: _HELP
where: _WHERE disjunction
?disjunction: conjunction (_OR conjunction)*
?conjunction: condition (_AND condition)*
?condition: _NOT condition -> negation
          | "(" disjunction ")"
          | NAME OP value -> compare
order: _SORT _BY NAME DIRECTION?
limit: _LIMIT INT
value: STRING | WORD
DIRECTION.5: /(asc|desc)/
INT.2: /\d+/
NAME.1: /[a-z_]+/
KEY: /[\w.\/:-]+/
REST: /\S.*/
WORD: /[^\s=!<>~()"]+/
OP: "!=" | "<=" | ">=" | "=" | "<" | ">" | "~"
STRING: /"(\\.|[^"\\])*"/
%ignore /\s+/
"""


def _grammar() -> str:
    lines = [_RULES]
    for word in _KEYWORDS:
        lines.append(f"_{word.upper()}.5: /{word}{_WORD_END}/")
    lines.append(f"LIST.5: /({'|'.join(LISTS)}){_WORD_END}/")
    lines.append(f"KIND.5: /({'|'.join(EXPLAINABLE_KINDS)}){_WORD_END}/")
    return "\n".join(lines)


class Compare(NamedTuple):
    """A condition on one field; `op` is one of = != < <= > >= ~."""

    field: str
    op: str
    value: str


class And(NamedTuple):
    """True when all parts are true."""

    parts: tuple


class Or(NamedTuple):
    """True when at least one part is true."""

    parts: tuple


class Not(NamedTuple):
    """True when the part is false."""

    part: Any


class Listing(NamedTuple):
    """Lists the rows that meet the condition, sorted and limited."""

    name: str
    where: Any
    sort: str
    descending: bool
    limit: int


class Count(NamedTuple):
    """Counts the rows that meet the condition, grouped by a field."""

    name: str
    where: Any
    by: str


class Watch(NamedTuple):
    """Repeats a listing. Carried out by the client, not by the node."""

    text: str


class Why(NamedTuple):
    """Lists the reasons recorded for one object."""

    kind: str
    ident: str


class Submit(NamedTuple):
    """Submits the job in the file `source`, or in the body if that is "-"."""

    source: str


class Cancel(NamedTuple):
    """Cancels a job."""

    job: str


class Drain(NamedTuple):
    """Sends no new work to a worker and moves its tasks elsewhere."""

    worker: str


class Undrain(NamedTuple):
    """Allows new work on a drained worker."""

    worker: str


class Set(NamedTuple):
    """Sets one key of the configuration; the value is JSON or a word."""

    key: str
    value: Any


class Rollback(NamedTuple):
    """Puts the document of an old version in force as a new version."""

    version: int


class Move(NamedTuple):
    """Moves the pending tasks of a job to another partition."""

    job: str
    partition: str


class ConfigStatus(NamedTuple):
    """Lists the configuration version in force on each node."""


class Help(NamedTuple):
    """Lists the commands."""


_CHANGES = (Submit, Cancel, Drain, Undrain, Set, Rollback, Move)


def changes_state(statement) -> bool:
    """Returns whether the statement needs the write role."""
    return isinstance(statement, _CHANGES)


def completion_words() -> list[str]:
    """Returns the words that the operator shell completes."""
    fields = {field for columns in FIELDS.values() for field in columns}
    keywords = {"where", "and", "or", "not", "sort", "by", "limit", "desc"}
    return sorted({*LISTS, *EXPLAINABLE_KINDS, *COMMANDS, *fields, *keywords})


# ------------------------------------------------------------------ parsing


class _Builder(lark.Transformer):
    """Converts the parse tree to statements."""

    def start(self, items):
        return items[0]

    def value(self, items):
        token = items[0]
        if token.type == "STRING":
            return json.loads(str(token))
        return str(token)

    def compare(self, items):
        return Compare(str(items[0]), str(items[1]), items[2])

    def negation(self, items):
        return Not(items[0])

    def conjunction(self, items):
        return And(tuple(items))

    def disjunction(self, items):
        return Or(tuple(items))

    def where(self, items):
        return ("where", items[0])

    def order(self, items):
        descending = len(items) > 1 and str(items[1]) == "desc"
        return ("order", (str(items[0]), descending))

    def limit(self, items):
        return ("limit", int(items[0]))

    def listing(self, items):
        clauses = dict(items[1:])
        field, descending = clauses.get("order", ("", False))
        return Listing(
            str(items[0]),
            clauses.get("where"),
            field,
            descending,
            clauses.get("limit", DEFAULT_LIMIT),
        )

    def counting(self, items):
        where = None
        by = ""
        for item in items[1:]:
            if isinstance(item, tuple):
                where = item[1]
            else:
                by = str(item)
        return Count(str(items[0]), where, by)

    def why(self, items):
        return Why(str(items[0]), items[1])

    def submit(self, items):
        return Submit(items[0])

    def cancel(self, items):
        return Cancel(items[0])

    def drain(self, items):
        return Drain(items[0])

    def undrain(self, items):
        return Undrain(items[0])

    def set(self, items):
        text = str(items[1]).strip()
        try:
            value = json.loads(text)
        except ValueError:
            value = text
        return Set(str(items[0]), value)

    def rollback(self, items):
        return Rollback(int(items[0]))

    def move(self, items):
        return Move(items[0], items[1])

    def config_status(self, items):
        if str(items[0]) != "config":
            raise ValueError(f"{items[0]} has no status, only config has")
        return ConfigStatus()

    def help(self, items):
        return Help()

    def watch(self, items):
        return Watch("")


@functools.cache
def _parser():
    return lark.Lark(_grammar(), parser="lalr", maybe_placeholders=False)


def parse(text: str):
    """Parses one command.

    Raises:
        BadInput: The text is not a command; the reason names the position
            and the nearest valid word.
    """
    try:
        tree = _parser().parse(text)
    except lark.exceptions.UnexpectedInput as exc:
        raise _syntax_error(text, exc) from exc
    try:
        statement = _Builder().transform(tree)
    except lark.exceptions.VisitError as exc:
        raise exceptions.BadInput(
            f"bad value: {exc.orig_exc}", step="parse command", request=text
        ) from exc
    if isinstance(statement, Watch):
        statement = Watch(text.strip()[len("watch") :].strip())
        parse(statement.text)
        return statement
    _check_fields(statement, text)
    return statement


def _syntax_error(text, exc):
    position = max(getattr(exc, "pos_in_stream", None) or 0, 0)
    token = getattr(exc, "token", None)
    at_end = token is not None and token.type == "$END"
    if at_end or position >= len(text) or not text.strip():
        unexpected = ""
    else:
        unexpected = text[position:].split()[0]
    first_word = text.split()[0] if text.split() else ""
    first_words = [*LISTS, *(verb.split()[0] for verb in COMMANDS)]
    if not unexpected:
        reason = "the command is incomplete"
        if first_word in first_words:
            return exceptions.BadInput(
                reason, step="parse command", request=text
            )
    else:
        reason = f"unexpected {unexpected!r} at position {position + 1}"
    candidates = (
        completion_words() if first_word in first_words else first_words
    )
    misspelled = unexpected or first_word
    if first_word not in first_words:
        misspelled = first_word
    nearest = difflib.get_close_matches(misspelled, candidates, n=1)
    if nearest:
        reason += f"; did you mean {nearest[0]!r}?"
    return exceptions.BadInput(reason, step="parse command", request=text)


def _condition_fields(where):
    if isinstance(where, Compare):
        return [where.field]
    if isinstance(where, Not):
        return _condition_fields(where.part)
    if isinstance(where, (And, Or)):
        return [
            field for part in where.parts for field in _condition_fields(part)
        ]
    return []


def _check_fields(statement, text):
    if isinstance(statement, Listing):
        used_fields = _condition_fields(statement.where)
        used_fields += [statement.sort] if statement.sort else []
    elif isinstance(statement, Count):
        used_fields = _condition_fields(statement.where)
        used_fields += [statement.by] if statement.by else []
    else:
        return
    valid_fields = FIELDS[statement.name]
    for field in used_fields:
        if field in valid_fields:
            continue
        reason = f"{statement.name} has no field {field!r}"
        nearest = difflib.get_close_matches(field, valid_fields, n=1)
        if nearest:
            reason += f"; did you mean {nearest[0]!r}?"
        raise exceptions.BadInput(reason, step="parse command", request=text)
