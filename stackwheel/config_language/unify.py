"""Records that unify: what several say of a field must all hold, and one value is left. No I/O.

A value is narrowed by types, bounds and choices until it is concrete; a default is taken where nobody says more. Each
concrete value keeps where it came from. Errors name file, line, path, what was found and what was expected.
"""

from __future__ import annotations

import operator
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, TypeAlias

from stackwheel.config_language.notation import (
    All,
    Bound,
    Either,
    Field,
    Items,
    Kind,
    Place,
    Record,
    Reference,
    Scalar,
    Value,
)

REFERENCES_MOST = 32  # one in another: a definition that names itself never ends
Plain: TypeAlias = str | int | float | bool | None
COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    ">": operator.gt,
    "<": operator.lt,
}


class UnifyError(ValueError):
    """Values that can't hold together; one line."""

    def __init__(self, origin: str, path: str, reason: str) -> None:
        super().__init__(f"{origin}: {path or 'the file'}: {reason}")
        self.path = path


@dataclass(frozen=True, slots=True)
class Source:
    """Where a record comes from."""

    name: str
    record: Record

    def at(self, place: Place) -> str:
        return f"{self.name}:{place.line}"


@dataclass(frozen=True, slots=True)
class Leaf:
    """A concrete value and its origin."""

    value: Plain
    origin: str


Tree: TypeAlias = "dict[str, Tree] | list[Tree] | Leaf"


@dataclass(slots=True)
class Claim:
    """What one source says of a value."""

    source: Source
    value: Value
    scope: Mapping[str, Value]


@dataclass(slots=True)
class Narrowed:
    """What is known of a scalar so far."""

    kinds: list[tuple[str, Claim]] = field(default_factory=list)
    bounds: list[tuple[Bound, Claim]] = field(default_factory=list)
    leaf: Leaf | None = None

    def copy(self) -> Narrowed:
        return Narrowed(list(self.kinds), list(self.bounds), self.leaf)


def kind_of(value: Plain) -> str:
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "bool"
    return {"str": "string", "int": "int", "float": "number"}[type(value).__name__]


def fits(value: Plain, kind: str) -> bool:
    found = kind_of(value)
    return kind == "_" or found == kind or (kind == "number" and found == "int")


def holds(value: Plain, bound: Bound) -> bool:
    limit = bound.value.value
    if bound.op == "!=":
        return value != limit
    if bound.op == "=~":
        return isinstance(value, str) and isinstance(limit, str) and re.search(limit, value) is not None
    if isinstance(value, str) != isinstance(limit, str) or value is None or isinstance(value, bool):
        return False
    return COMPARISONS[bound.op](value, limit)


def shown(value: Plain) -> str:
    if value is None or isinstance(value, bool):
        return {True: "true", False: "false", None: "null"}[value]
    return f'"{value}"' if isinstance(value, str) else f"{value:g}" if isinstance(value, float) else str(value)


def expected(narrowed: Narrowed) -> str:
    words = [kind for kind, _ in narrowed.kinds] + [
        f"{bound.op}{shown(bound.value.value)}" for bound, _ in narrowed.bounds
    ]
    return " & ".join(dict.fromkeys(words)) or "another value"


class Unifier:
    """Brings sources together; the first is the schema, which says what fields there may be."""

    def __init__(self, sources: Sequence[Source]) -> None:
        self.sources = sources

    def run(self) -> dict[str, Tree]:
        claims = [Claim(source, source.record, {}) for source in self.sources]
        return self.record("", claims)

    def record(self, path: str, claims: list[Claim]) -> dict[str, Tree]:
        """All say it is a record: each field is unified by itself."""
        by_name: dict[str, list[tuple[Field, Claim]]] = {}
        allowed: set[str] | None = None
        for claim in claims:
            found = claim.value
            assert isinstance(found, Record)
            scope = {**claim.scope, **{d.name: d.value for d in found.definitions}}
            if claim.source is self.sources[0] and not found.open:
                allowed = {f.name for f in found.fields} | (allowed or set())
            for one in found.fields:
                by_name.setdefault(one.name, []).append((one, Claim(claim.source, one.value, scope)))
        if allowed is not None:
            self.refuse_unknown(path, by_name, allowed)
        tree: dict[str, Tree] = {}
        for name, said in by_name.items():
            inner = f"{path}.{name}" if path else name
            if all(one.optional for one, _ in said):
                continue  # it may be given, and nobody did
            tree[name] = self.value(inner, [claim for _, claim in said])
        return tree

    def refuse_unknown(self, path: str, by_name: Mapping[str, list[tuple[Field, Claim]]], allowed: set[str]) -> None:
        for name, said in by_name.items():
            if name not in allowed:
                one, claim = said[0]
                near = nearest(name, allowed)
                raise UnifyError(
                    claim.source.at(one.place),
                    f"{path}.{name}" if path else name,
                    f"no such field{f'; is {near!r} meant?' if near else ''}",
                )

    def value(self, path: str, claims: list[Claim]) -> Tree:
        """One value that all claims allow."""
        flat = [part for claim in claims for part in self.parts(path, claim)]
        records = [c for c in flat if isinstance(c.value, Record)]
        items = [c for c in flat if isinstance(c.value, Items)]
        rest = [c for c in flat if not isinstance(c.value, Record | Items)]
        choices = [c for c in rest if isinstance(c.value, Either)]
        plain = [c for c in rest if not isinstance(c.value, Either)]
        if records or items:
            return self.structure(path, records, items, plain, choices)
        narrowed = Narrowed()
        for claim in plain:
            self.narrow(path, narrowed, claim)
        return self.choose(path, narrowed, choices)

    def structure(
        self, path: str, records: list[Claim], items: list[Claim], plain: list[Claim], choices: list[Claim]
    ) -> Tree:
        """A record or a list; whoever says it is something else is in the way."""
        for claim in plain:
            if not (isinstance(claim.value, Kind) and claim.value.name == "_"):
                raise UnifyError(
                    claim.source.at(claim.value.place), path, f"a {'record' if records else 'list'} was expected"
                )
        for claim in choices:
            assert isinstance(claim.value, Either)
            fit = [v for v in claim.value.values if isinstance(v, Record if records else Items)]
            if not fit:
                blamed = next((c for c in records + items if c.source is not self.sources[0]), claim)
                raise UnifyError(
                    blamed.source.at(blamed.value.place),
                    path,
                    f"{self.named(blamed.value)} found, {self.words(claim.value)} expected",
                )
            (records if records else items).insert(0, replace_value(claim, fit[0]))
        if records and items:
            blamed = max(records + items, key=lambda c: self.sources.index(c.source))
            wanted = "a list" if blamed in records else "a record"
            raise UnifyError(
                blamed.source.at(blamed.value.place), path, f"{self.named(blamed.value)} found, {wanted} expected"
            )
        if records:
            return self.record(path, records)
        given = [c for c in items if c.source is not self.sources[0]] or items
        shape = next((c for c in items if c.source is self.sources[0]), None)
        last = given[-1]
        assert isinstance(last.value, Items)
        if shape is last:  # a list in the schema tells what its items are, and holds none
            return []
        found: list[Tree] = []
        for at, one in enumerate(last.value.values):
            claims = [replace_value(last, one)]
            if shape is not None and shape is not last and isinstance(shape.value, Items) and shape.value.values:
                claims.insert(0, replace_value(shape, shape.value.values[0]))
            found.append(self.value(f"{path}[{at}]", claims))
        return found

    def parts(self, path: str, claim: Claim, depth: int = 0) -> Iterable[Claim]:
        """What a claim says, with conjunctions and references resolved."""
        if depth > REFERENCES_MOST:
            raise UnifyError(claim.source.at(claim.value.place), path, "a definition that names itself")
        if isinstance(claim.value, All):
            for value in claim.value.values:
                yield from self.parts(path, replace_value(claim, value), depth + 1)
        elif isinstance(claim.value, Reference):
            target = claim.scope.get(claim.value.name) or self.definition(claim.value.name)
            if target is None:
                raise UnifyError(claim.source.at(claim.value.place), path, f"{claim.value.name} is defined nowhere")
            yield from self.parts(path, replace_value(claim, target), depth + 1)
        else:
            yield claim

    def definition(self, name: str) -> Value | None:
        for source in self.sources:
            for one in source.record.definitions:
                if one.name == name:
                    return one.value
        return None

    def narrow(self, path: str, narrowed: Narrowed, claim: Claim) -> None:
        """Take one claim into what is known; UnifyError where both can't hold."""
        value = claim.value
        if isinstance(value, Kind):
            narrowed.kinds.append((value.name, claim))
        elif isinstance(value, Bound):
            narrowed.bounds.append((value, claim))
        elif isinstance(value, Scalar):
            if narrowed.leaf is not None and not same(narrowed.leaf.value, value.value):
                raise UnifyError(
                    claim.source.at(value.place),
                    path,
                    f"{shown(value.value)}, but {narrowed.leaf.origin} says {shown(narrowed.leaf.value)}",
                )
            if narrowed.leaf is None:
                narrowed.leaf = Leaf(value.value, claim.source.at(value.place))
        else:
            raise UnifyError(claim.source.at(value.place), path, "a plain value was expected")
        self.test(path, narrowed)

    @staticmethod
    def test(path: str, narrowed: Narrowed) -> None:
        leaf = narrowed.leaf
        if leaf is None:
            return
        if not all(fits(leaf.value, kind) for kind, _ in narrowed.kinds) or not all(
            holds(leaf.value, bound) for bound, _ in narrowed.bounds
        ):
            raise UnifyError(leaf.origin, path, f"{shown(leaf.value)} found, {expected(narrowed)} expected")

    def choose(self, path: str, narrowed: Narrowed, choices: list[Claim]) -> Leaf:
        """The given value against every choice; without one, the default that all allow."""
        if narrowed.leaf is not None:
            for claim in choices:
                self.allowed(path, narrowed, claim)
            return narrowed.leaf
        for claim in choices:
            assert isinstance(claim.value, Either)
            if claim.value.default is None:
                continue
            attempt = narrowed.copy()
            for part in self.parts(path, replace_value(claim, claim.value.values[claim.value.default])):
                self.narrow(path, attempt, part)
            if attempt.leaf is not None:
                return Leaf(attempt.leaf.value, "default" if claim.source is self.sources[0] else attempt.leaf.origin)
        if not choices and not narrowed.kinds and not narrowed.bounds:
            raise UnifyError(self.sources[0].name, path, "nothing says what it is")
        origin = choices[0] if choices else (narrowed.kinds or narrowed.bounds)[0][1]
        name = origin.source.at(origin.value.place) if origin.source is not self.sources[0] else self.sources[-1].name
        words = " & ".join(self.words(c.value) for c in choices) if choices else expected(narrowed)
        raise UnifyError(name, path, f"not given; {words} expected")

    def allowed(self, path: str, narrowed: Narrowed, claim: Claim) -> None:
        assert isinstance(claim.value, Either) and narrowed.leaf is not None
        for value in claim.value.values:
            attempt = narrowed.copy()
            try:
                for part in self.parts(path, replace_value(claim, value)):
                    self.narrow(path, attempt, part)
            except UnifyError:
                continue
            return
        raise UnifyError(
            narrowed.leaf.origin, path, f"{shown(narrowed.leaf.value)} found, {self.words(claim.value)} expected"
        )

    def words(self, value: Value) -> str:
        """The choices, without a default that the others allow anyway."""
        assert isinstance(value, Either)
        told = [
            v
            for at, v in enumerate(value.values)
            if at != value.default
            or isinstance(v, Record | Items)
            or all(isinstance(other, Scalar) for other in value.values)
        ]
        return " | ".join(dict.fromkeys(self.named(one) for one in told))

    def named(self, value: Value) -> str:
        match value:
            case Scalar(one, _):
                return shown(one)
            case Kind(name, _):
                return name
            case Bound(op, limit, _):
                return f"{op}{shown(limit.value)}"
            case All(values, _):
                return " & ".join(self.named(one) for one in values)
            case Reference(name, _):
                return name
        return "a record" if isinstance(value, Record) else "a list"


def same(one: Plain, other: Plain) -> bool:
    return one == other and isinstance(one, bool) == isinstance(other, bool)


def replace_value(claim: Claim, value: Value) -> Claim:
    return replace(claim, value=value)


def nearest(name: str, among: Iterable[str]) -> str | None:
    """The field that a misspelt one is likely to stand for."""
    from difflib import get_close_matches

    return next(iter(get_close_matches(name, sorted(among), 1)), None)


def values(tree: Tree) -> object:
    """The tree without its origins, as msgspec converts it."""
    if isinstance(tree, Leaf):
        return tree.value
    if isinstance(tree, list):
        return [values(one) for one in tree]
    return {name: values(one) for name, one in tree.items()}


def origins(tree: Tree, path: str = "") -> Iterable[tuple[str, Plain, str]]:
    """Each value by its path, with where it comes from."""
    if isinstance(tree, Leaf):
        yield path, tree.value, tree.origin
    elif isinstance(tree, list):
        for at, one in enumerate(tree):
            yield from origins(one, f"{path}[{at}]")
    else:
        for name, one in tree.items():
            yield from origins(one, f"{path}.{name}" if path else name)
