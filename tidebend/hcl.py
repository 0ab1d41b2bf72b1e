"""Operators' and users' HCL files, checked against schemas: an error names file, line, field and what was expected."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import hcl2
import msgspec
from hcl2.utils import SerializationOptions
from lark.exceptions import LarkError, UnexpectedInput
from lark.lexer import Token
from lark.tree import Tree

T = TypeVar("T")
# a settings or job file is small; what is larger wasn't meant to be one
MOST_BYTES = 1024 * 1024

_OPTIONS = SerializationOptions(with_comments=False, with_meta=False, explicit_blocks=False, strip_string_quotes=True)


class HclFileError(Exception):
    """A file can't be used; the text is `FILE:LINE: FIELD: what is wrong`."""


class HclFile:
    """A parsed file: its values, and where each of them stands."""

    def __init__(self, path: str) -> None:
        """Raises HclFileError."""
        self.path = path
        try:
            raw = Path(path).read_bytes()
        except OSError as error:
            raise HclFileError(f"{path}: {error.strerror}") from error
        if len(raw) > MOST_BYTES:
            raise HclFileError(f"{path}: {len(raw)} bytes, of at most {MOST_BYTES}")
        try:
            text = raw.decode()
            if not text.endswith("\n"):
                text += "\n"
            self.values: dict[str, Any] = hcl2.loads(text, serialization_options=_OPTIONS)
            self._lines: dict[tuple[str, ...], int] = {}
            self._note(hcl2.parses_to_tree(text), ())
        except UnicodeDecodeError as error:
            line = raw[: error.start].count(b"\n") + 1
            raise HclFileError(f"{path}:{line}: not UTF-8") from error
        except UnexpectedInput as error:
            raise HclFileError(f"{path}:{error.line}: not HCL: unexpected {_unexpected(error)}") from error
        except (LarkError, ValueError, RecursionError) as error:
            raise HclFileError(f"{path}: not HCL: {str(error).splitlines()[0]}") from error

    def _note(self, tree: Tree, where: tuple[str, ...]) -> None:
        for node in tree.children:
            if not isinstance(node, Tree):
                continue
            if node.data in ("attribute", "block"):
                words = [
                    str(word)
                    for part in node.children
                    if isinstance(part, Tree) and part.data in ("identifier", "string")
                    for word in part.scan_values(
                        lambda token: isinstance(token, Token) and token.type in ("NAME", "STRING_CHARS")
                    )
                ]
                if node.data == "attribute":
                    words = words[:1]
                self._lines.setdefault((*where, *words), node.meta.line)
                if node.data == "block":
                    for part in node.children:
                        if isinstance(part, Tree) and part.data == "body":
                            self._note(part, (*where, *words))
            else:
                self._note(node, where)

    def line(self, where: tuple[str, ...]) -> int:
        """The line of a field, or of the nearest thing around it that stands in the file."""
        while where and where not in self._lines:
            where = where[:-1]
        return self._lines.get(where, 1)

    def error(self, where: tuple[str, ...], text: str) -> HclFileError:
        """Return an error that names the file, the line and the setting."""
        return HclFileError(f"{self.path}:{self.line(where)}: {'.'.join(where)}: {text}")

    def check(self, values: Any, kind: type[T], where: tuple[str, ...] = ()) -> T:
        """Values from this file as a checked structure; raises HclFileError."""
        try:
            return msgspec.convert(values, kind, strict=True)
        except msgspec.ValidationError as error:
            text, _, path = str(error).partition(" - at `")
            steps = [step for step in re.split(r"[.\[\]`]+", path.removeprefix("$")) if step and not step.isdigit()]
            unknown = re.search(r"unknown field `(\w+)`", text)
            field = (*where, *steps, *([unknown.group(1)] if unknown else []))
            raise self.error(field, text) from error

    def block(self, name: str, kind: type[T]) -> T:
        """An unlabelled block that may stand once or not at all."""
        rows = self.values.get(name, [])
        if not isinstance(rows, list) or len(rows) > 1 or any(not isinstance(row, dict) for row in rows):
            raise self.error((name,), "expected one block")
        return self.check(rows[0] if rows else {}, kind, (name,))

    def labelled_blocks(self, name: str, kind: type[T], default: Callable[[], dict[str, T]] = dict) -> dict[str, T]:
        """Blocks with a label each, `NAME "LABEL" { ... }`; `default` where there is none."""
        found: dict[str, T] = {}
        for row in self.values.get(name, []):
            if not isinstance(row, dict) or len(row) != 1 or not isinstance(next(iter(row.values())), dict):
                raise self.error((name,), f'expected {name} "LABEL" {{ ... }}')
            ((label, values),) = row.items()
            if label in found:
                raise self.error((name, label), "stands twice")
            found[label] = self.check(values, kind, (name, label))
        return found or default()

    def reject_unknown(self, *names: str) -> None:
        """Nothing but these at the top."""
        for name in self.values:
            if name not in names:
                raise self.error((name,), f"unknown; expected {', '.join(names)}")


def _unexpected(error: UnexpectedInput) -> str:
    token = getattr(error, "token", None) or getattr(error, "char", None)
    return repr(str(token))[:40] if token is not None else "end"
