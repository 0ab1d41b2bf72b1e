"""Reading and validating HCL files. Errors name the file, the line, the field and what was expected."""

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
# Settings and job files are small; a larger file was given by mistake.
MAX_FILE_BYTES = 1024 * 1024

_OPTIONS = SerializationOptions(with_comments=False, with_meta=False, explicit_blocks=False, strip_string_quotes=True)


class HclFileError(Exception):
    """An HCL file can't be read or is invalid; the text is `FILE:LINE: FIELD: what is wrong`."""


class HclFile:
    """A parsed HCL file: its values and their line numbers."""

    def __init__(self, path: str) -> None:
        """Read and parse the file. Raises HclFileError."""
        self.path = path
        try:
            raw = Path(path).read_bytes()
        except OSError as error:
            raise HclFileError(f"{path}: {error.strerror}") from error
        if len(raw) > MAX_FILE_BYTES:
            raise HclFileError(f"{path}: file has {len(raw)} bytes, expected at most {MAX_FILE_BYTES}")
        try:
            text = raw.decode()
            if not text.endswith("\n"):
                text += "\n"
            self.values: dict[str, Any] = hcl2.loads(text, serialization_options=_OPTIONS)
            self._lines: dict[tuple[str, ...], int] = {}
            self._record_lines(hcl2.parses_to_tree(text), ())
        except UnicodeDecodeError as error:
            line = raw[: error.start].count(b"\n") + 1
            raise HclFileError(f"{path}:{line}: not UTF-8") from error
        except UnexpectedInput as error:
            raise HclFileError(f"{path}:{error.line}: not HCL: unexpected {_unexpected(error)}") from error
        except (LarkError, ValueError, RecursionError) as error:
            raise HclFileError(f"{path}: not HCL: {str(error).splitlines()[0]}") from error

    def _record_lines(self, tree: Tree, field_path: tuple[str, ...]) -> None:
        for node in tree.children:
            if not isinstance(node, Tree):
                continue
            if node.data in ("attribute", "block"):
                names = [
                    str(name)
                    for part in node.children
                    if isinstance(part, Tree) and part.data in ("identifier", "string")
                    for name in part.scan_values(
                        lambda token: isinstance(token, Token) and token.type in ("NAME", "STRING_CHARS")
                    )
                ]
                if node.data == "attribute":
                    names = names[:1]
                self._lines.setdefault((*field_path, *names), node.meta.line)
                if node.data == "block":
                    for part in node.children:
                        if isinstance(part, Tree) and part.data == "body":
                            self._record_lines(part, (*field_path, *names))
            else:
                self._record_lines(node, field_path)

    def line(self, field_path: tuple[str, ...]) -> int:
        """Return the line of a field, or of the innermost enclosing block that is in the file."""
        while field_path and field_path not in self._lines:
            field_path = field_path[:-1]
        return self._lines.get(field_path, 1)

    def error(self, field_path: tuple[str, ...], text: str) -> HclFileError:
        """Return an error that names the file, the line and the field."""
        return HclFileError(f"{self.path}:{self.line(field_path)}: {'.'.join(field_path)}: {text}")

    def check(self, values: Any, kind: type[T], field_path: tuple[str, ...] = ()) -> T:
        """Convert values from this file to a `kind` and validate them. Raises HclFileError.

        `field_path`: the field or block of the values, for error messages.
        """
        try:
            return msgspec.convert(values, kind, strict=True)
        except msgspec.ValidationError as error:
            text, _, location = str(error).partition(" - at `")
            steps = [step for step in re.split(r"[.\[\]`]+", location.removeprefix("$")) if step and not step.isdigit()]
            unknown = re.search(r"unknown field `(\w+)`", text)
            field = (*field_path, *steps, *([unknown.group(1)] if unknown else []))
            raise self.error(field, text) from error

    def block(self, name: str, kind: type[T]) -> T:
        """Return an unlabelled block that may be given at most once; the defaults if it is missing."""
        rows = self.values.get(name, [])
        if not isinstance(rows, list) or len(rows) > 1 or any(not isinstance(row, dict) for row in rows):
            raise self.error((name,), "expected one block")
        return self.check(rows[0] if rows else {}, kind, (name,))

    def labelled_blocks(self, name: str, kind: type[T], default: Callable[[], dict[str, T]] = dict) -> dict[str, T]:
        """Return the blocks `NAME "LABEL" { ... }` by label; what `default` returns if there is none."""
        found: dict[str, T] = {}
        for row in self.values.get(name, []):
            if not isinstance(row, dict) or len(row) != 1 or not isinstance(next(iter(row.values())), dict):
                raise self.error((name,), f'expected {name} "LABEL" {{ ... }}')
            ((label, values),) = row.items()
            if label in found:
                raise self.error((name, label), "duplicate block")
            found[label] = self.check(values, kind, (name, label))
        return found or default()

    def reject_unknown(self, *names: str) -> None:
        """Raise HclFileError if there are other names at the top level than these."""
        for name in self.values:
            if name not in names:
                raise self.error((name,), f"unknown name; expected {', '.join(names)}")


def _unexpected(error: UnexpectedInput) -> str:
    token = getattr(error, "token", None) or getattr(error, "char", None)
    return repr(str(token))[:40] if token is not None else "end"
