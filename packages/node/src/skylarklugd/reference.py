"""Prints the settings reference as Markdown, from the checked schema."""

from skylarklugd import settings

HEADER = """\
# Settings of a node

Generated from the schema that `skylarklugd --check` uses; do not edit.
Refresh with `make settings-reference`. Times are in milliseconds, sizes in
bytes. A port of 0 is chosen by the system.

| key | type | required | default |
| --- | --- | --- | --- |
"""


def _type_of(node, definitions) -> str:
    """Returns a short description of one schema node."""
    if "$ref" in node:
        return _type_of(definitions[node["$ref"].split("/")[-1]], definitions)
    if "enum" in node:
        return " or ".join(f"`{value}`" for value in node["enum"])
    if "const" in node:
        return f"`{node['const']}`"
    if "anyOf" in node:
        parts = [_type_of(part, definitions) for part in node["anyOf"]]
        return " or ".join(dict.fromkeys(parts))
    kind = node.get("type", "any")
    if kind == "array":
        return "list"
    if kind == "object":
        return "table"
    limits = []
    names = {
        "minimum": "at least",
        "exclusiveMinimum": "above",
        "maximum": "at most",
        "minLength": "length at least",
        "maxLength": "length at most",
    }
    for name, text in names.items():
        if name in node:
            limits.append(f"{text} {node[name]}")
    if "pattern" in node:
        limits.append("pattern `" + node["pattern"].replace("|", "\\|") + "`")
    return ", ".join([kind, *limits])


def _rows(node, definitions, prefix, defaults):
    """Yields (key, type, required, default) of a table and its tables."""
    if "$ref" in node:
        node = definitions[node["$ref"].split("/")[-1]]
    required = set(node.get("required", ()))
    for name, part in node.get("properties", {}).items():
        key = f"{prefix}{name}"
        default = defaults.get(name) if isinstance(defaults, dict) else None
        shown = "" if default in (None, {}, []) else f"`{default}`"
        target = part
        if "$ref" in part:
            target = definitions[part["$ref"].split("/")[-1]]
        nested = "properties" in target
        if nested:
            shown = ""
        need = "yes" if name in required else ""
        yield key, _type_of(part, definitions), need, shown
        if nested:
            yield from _rows(target, definitions, f"{key}.", default)
            continue
        items = part.get("items", {})
        if "$ref" in items:
            yield from _rows(items, definitions, f"{key}[].", {})


def render() -> str:
    """Returns the reference page."""
    schema = settings.schema()
    lines = [HEADER.rstrip("\n")]
    rows = _rows(schema, schema.get("$defs", {}), "", settings.DEFAULTS)
    for key, kind, required, default in rows:
        lines.append(f"| `{key}` | {kind} | {required} | {default} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(render(), end="")
