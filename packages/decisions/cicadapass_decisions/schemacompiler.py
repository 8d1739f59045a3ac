"""Compile a JSON Schema into a fast predicate that accepts or rejects a document.

A node validates several thousand changes a day. The jsonschema library takes 220 ms
for a document of 1,400 upstreams, so it runs only on documents that the compiled
predicate rejects, to describe their errors.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any

Check = Callable[[Any], bool]
_IGNORED_KEYWORDS = {"$schema", "title", "description", "default"}
_SUPPORTED_KEYWORDS = {
    *("type", "enum", "const", "minimum", "maximum", "pattern", "items"),
    *("properties", "required", "additionalProperties", "propertyNames"),
    *("minProperties", "not", "if", "then", "else"),
}
_TYPES: dict[str, tuple[type, ...]] = {
    "string": (str,),
    "boolean": (bool,),
    "object": (dict,),
    "array": (list,),
    "null": (type(None),),
    # bool is a subclass of int; the exact type is compared to exclude it.
    "integer": (int,),
    "number": (int, float),
}


def compile_schema(schema: dict[str, Any] | bool) -> Check:
    """Return the predicate for a schema; raise TypeError for an unsupported keyword.

    It is stricter than JSON Schema in one point: 1.0 is not an integer.
    """
    if isinstance(schema, bool):
        return lambda _: schema
    unknown = {key for key in schema if not key.startswith("x-")}
    unknown -= _IGNORED_KEYWORDS | _SUPPORTED_KEYWORDS
    if unknown:
        raise TypeError(
            f"unsupported keywords {sorted(unknown)}; add them to schemacompiler.py"
        )
    return _all_of([*_scalar_checks(schema), *_container_checks(schema)])


def _all_of(checks: list[Check]) -> Check:
    if len(checks) == 1:
        return checks[0]
    return lambda value: all([check(value) for check in checks])


def _scalar_checks(schema: dict[str, Any]) -> Iterator[Check]:
    if "type" in schema and schema["type"] not in ("object", "array"):
        yield _type_check(schema["type"])
    if "enum" in schema:
        yield _one_of(schema["enum"])
    if "const" in schema:
        yield _one_of([schema["const"]])
    if "minimum" in schema or "maximum" in schema:
        yield _range_check(schema["minimum"], schema["maximum"])
    if "pattern" in schema:
        yield _pattern_check(schema["pattern"])


def _type_check(names: str | list[str]) -> Check:
    names = [names] if isinstance(names, str) else names
    types = frozenset(kind for name in names for kind in _TYPES[name])
    return lambda value: type(value) in types


def _one_of(values: list[Any]) -> Check:
    allowed = {(type(value), value) for value in values}
    return lambda value: (
        type(value) in (str, int, bool) and (type(value), value) in allowed
    )


def _range_check(minimum: float, maximum: float) -> Check:
    # Every comparison with NaN is false, so this form rejects NaN.
    return lambda value: type(value) not in (int, float) or minimum <= value <= maximum


def _pattern_check(pattern: str) -> Check:
    search = re.compile(pattern).search
    return lambda value: type(value) is not str or search(value) is not None


def _container_checks(schema: dict[str, Any]) -> Iterator[Check]:
    if schema.get("type") == "object":
        yield _object_check(schema)
    elif "properties" in schema:
        yield _properties_check(schema)
    if schema.get("type") == "array":
        yield _array_check(compile_schema(schema["items"]))
    if "not" in schema:
        inner = compile_schema(schema["not"])
        yield lambda value: not inner(value)
    if "if" in schema:
        yield _branch_check(schema)


def _array_check(check_element: Check) -> Check:
    return lambda value: (
        type(value) is list and all([check_element(element) for element in value])
    )


def _branch_check(schema: dict[str, Any]) -> Check:
    condition = compile_schema(schema["if"])
    then, otherwise = compile_schema(schema["then"]), compile_schema(schema["else"])
    return lambda value: then(value) if condition(value) else otherwise(value)


def _properties_check(schema: dict[str, Any]) -> Check:
    """Check only the listed keys, for the branches of a conditional schema."""
    properties = {
        key: compile_schema(subschema)
        for key, subschema in schema["properties"].items()
    }
    required = frozenset(schema.get("required", ()))

    def check(value: Any) -> bool:
        if type(value) is not dict:
            return True
        if not required <= value.keys():
            return False
        return all(properties[key](value[key]) for key in properties.keys() & value)

    return check


def _object_check(schema: dict[str, Any]) -> Check:
    properties = {
        key: compile_schema(subschema)
        for key, subschema in schema.get("properties", {}).items()
    }
    required = frozenset(schema.get("required", ()))
    min_properties = schema.get("minProperties", 0)
    check_other = compile_schema(schema["additionalProperties"])
    check_name = compile_schema({"type": "string"} | schema.get("propertyNames", {}))

    def check(value: Any) -> bool:
        if type(value) is not dict or len(value) < min_properties:
            return False
        if not required <= value.keys():
            return False
        for key, item in value.items():
            if key in properties:
                if not properties[key](item):
                    return False
            elif not (check_name(key) and check_other(item)):
                return False
        return True

    return check
