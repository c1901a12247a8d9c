"""Prints the settings reference in Markdown, generated from the schema."""

from skylarklugd import settings

HEADER = """\
# Settings of a node

Generated from the schema that `skylarklugd --check` uses; do not edit.
Refresh with `make settings-reference`. Times are in milliseconds, sizes in
bytes. A port of 0 is chosen by the system.

| key | type | required | default |
| --- | --- | --- | --- |
"""


def _describe_type(schema, definitions) -> str:
    """Returns a short description of a schema's type and limits."""
    if "$ref" in schema:
        return _describe_type(
            definitions[schema["$ref"].split("/")[-1]], definitions
        )
    if "enum" in schema:
        return " or ".join(f"`{value}`" for value in schema["enum"])
    if "const" in schema:
        return f"`{schema['const']}`"
    if "anyOf" in schema:
        parts = [
            _describe_type(option, definitions) for option in schema["anyOf"]
        ]
        return " or ".join(dict.fromkeys(parts))
    schema_type = schema.get("type", "any")
    if schema_type == "array":
        return "list"
    if schema_type == "object":
        return "table"
    limits = []
    limit_labels = {
        "minimum": "at least",
        "exclusiveMinimum": "above",
        "maximum": "at most",
        "minLength": "length at least",
        "maxLength": "length at most",
    }
    for name, label in limit_labels.items():
        if name in schema:
            limits.append(f"{label} {schema[name]}")
    if "pattern" in schema:
        limits.append("pattern `" + schema["pattern"].replace("|", "\\|") + "`")
    return ", ".join([schema_type, *limits])


def _table_rows(schema, definitions, prefix, defaults):
    """Yields (key, type, required, default) of a table and nested tables."""
    if "$ref" in schema:
        schema = definitions[schema["$ref"].split("/")[-1]]
    required = set(schema.get("required", ()))
    for name, property_schema in schema.get("properties", {}).items():
        key = f"{prefix}{name}"
        default = defaults.get(name) if isinstance(defaults, dict) else None
        default_text = "" if default in (None, {}, []) else f"`{default}`"
        resolved = property_schema
        if "$ref" in property_schema:
            resolved = definitions[property_schema["$ref"].split("/")[-1]]
        nested = "properties" in resolved
        if nested:
            default_text = ""
        required_text = "yes" if name in required else ""
        yield (
            key,
            _describe_type(property_schema, definitions),
            required_text,
            default_text,
        )
        if nested:
            yield from _table_rows(resolved, definitions, f"{key}.", default)
            continue
        items = property_schema.get("items", {})
        if "$ref" in items:
            yield from _table_rows(items, definitions, f"{key}[].", {})


def render() -> str:
    """Returns the reference page as Markdown."""
    schema = settings.schema()
    lines = [HEADER.rstrip("\n")]
    rows = _table_rows(schema, schema.get("$defs", {}), "", settings.DEFAULTS)
    for key, schema_type, required, default in rows:
        lines.append(f"| `{key}` | {schema_type} | {required} | {default} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(render(), end="")
