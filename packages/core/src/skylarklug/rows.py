"""Evaluation of parsed query statements over a list of rows."""

from skylarklug import query


def _number(value):
    try:
        return float(value)
    except (TypeError, ValueError):
        return None


def _compare(actual, op, expected) -> bool:
    if op == "~":
        return expected in str(actual)
    if isinstance(actual, (list, tuple)):
        contained = expected in [str(item) for item in actual]
        return contained if op == "=" else not contained
    left, right = _number(actual), _number(expected)
    if left is None or right is None:
        left, right = str(actual), str(expected)
    if op == "=":
        return left == right
    if op == "!=":
        return left != right
    if op == "<":
        return left < right
    if op == "<=":
        return left <= right
    if op == ">":
        return left > right
    return left >= right


def matches(where, row) -> bool:
    """Returns whether a row matches a condition; None matches every row."""
    if where is None:
        return True
    if isinstance(where, query.Compare):
        return _compare(row.get(where.field), where.op, where.value)
    if isinstance(where, query.Not):
        return not matches(where.part, row)
    if isinstance(where, query.And):
        return all(matches(part, row) for part in where.parts)
    return any(matches(part, row) for part in where.parts)


def _sort_key(field):
    def key(row):
        value = row.get(field)
        number = _number(value)
        if value is None:
            return (2, 0, "")
        if number is not None:
            return (0, number, "")
        return (1, 0, str(value))

    return key


def select(statement: query.Listing, rows: list) -> list[dict]:
    """Returns the rows of a listing, filtered, sorted and limited.

    Rows are sorted by the first column unless the statement has a sort field,
    so that the result is deterministic.
    """
    columns = query.FIELDS[statement.name]
    kept = [
        {name: row.get(name) for name in columns}
        for row in rows
        if matches(statement.where, row)
    ]
    kept.sort(key=_sort_key(columns[0]))
    if statement.sort:
        kept.sort(key=_sort_key(statement.sort), reverse=statement.descending)
    return kept[: min(statement.limit, query.MAX_LIMIT)]


def count(statement: query.Count, rows: list) -> list[dict]:
    """Returns one row with the count, or one row per value of a field."""
    totals = {}
    for row in rows:
        if not matches(statement.where, row):
            continue
        value = row.get(statement.by) if statement.by else "all"
        totals[str(value)] = totals.get(str(value), 0) + 1
    if not statement.by:
        return [{"count": totals.get("all", 0)}]
    return [
        {statement.by: value, "count": totals[value]}
        for value in sorted(totals)
    ]
