"""Checked fields of a decoded TOML table. An error names the field with its path in the file, and what is expected."""

from __future__ import annotations

from typing import Any

from tidebend.settings.model import SettingsError

GREATEST_PORT = 65535


class TableReader:
    """Reads fields of one table. All methods raise SettingsError for a field that is missing or of another form."""

    def __init__(self, table: dict[str, Any], path: str = "") -> None:
        """`path`: what stands before the names of this table's fields in messages."""
        self._table = table
        self._path = path

    def __contains__(self, key: str) -> bool:
        """Whether the table has the field, of whatever form."""
        return key in self._table

    def is_text(self, key: str, text: str) -> bool:
        """Whether the field is there and is this text."""
        return self._table.get(key) == text

    def text(self, key: str) -> str:
        """A text, perhaps empty."""
        return self._get(key, (str,), "a text")

    def number(self, key: str, least: float = 0.0, default: float | None = None) -> float:
        """A finite number of at least `least`; `default` where the field is missing."""
        value = float(self._get(key, (int, float), "a number", default))
        if not least <= value < float("inf"):
            raise self._error(key, f"a number of at least {least:g}")
        return value

    def table(self, key: str) -> TableReader:
        """A table within this one."""
        return TableReader(self._get(key, (dict,), "a table"), f"{self._path}{key}.")

    def tables(self, key: str) -> list[TableReader]:
        """A list of tables; empty where the field is missing."""
        rows = self._get(key, (list,), "a list of tables", default=[])
        if any(not isinstance(row, dict) for row in rows):
            raise self._error(key, "a list of tables")
        return [TableReader(row, f"{self._path}{key}[{number}].") for number, row in enumerate(rows)]

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of texts."""
        rows = self._get(key, (list,), "a list of texts")
        if any(not isinstance(row, str) for row in rows):
            raise self._error(key, "a list of texts")
        return tuple(rows)

    def address(self, key: str) -> tuple[str, int]:
        """Host and port of `HOST:PORT`."""
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdigit() or int(port) > GREATEST_PORT:
            raise self._error(key, "an address with a port")
        return host, int(port)

    def _get(self, key: str, kinds: tuple[type, ...], expected: str, default: Any = None) -> Any:
        if key not in self._table:
            if default is not None:
                return default
            raise SettingsError(f"settings: {self._path}{key} is missing")
        value = self._table[key]
        if not isinstance(value, kinds) or isinstance(value, bool):
            raise self._error(key, expected)
        return value

    def _error(self, key: str, expected: str) -> SettingsError:
        return SettingsError(f"settings: {self._path}{key} must be {expected}")
