"""Validated access to the fields of a decoded TOML table.

An error states the path of the field in the file and what was expected.
"""

from __future__ import annotations

from typing import Any

from tidebend.settings.model import SettingsError

MAX_PORT = 65535


class TableReader:
    """Reads the fields of one table. Its methods raise SettingsError if a field is missing or invalid."""

    def __init__(self, table: dict[str, Any], path: str = "") -> None:
        """`path` is the prefix of this table's field names in error messages."""
        self._table = table
        self._path = path

    def __contains__(self, key: str) -> bool:
        """Return whether the table has the field, valid or not."""
        return key in self._table

    def equals(self, key: str, expected: str) -> bool:
        """Return whether the field exists and equals this string."""
        return self._table.get(key) == expected

    def string(self, key: str) -> str:
        """Return a string, which may be empty."""
        return self._get(key, (str,), "a string")

    def number(self, key: str, minimum: float = 0.0, default: float | None = None) -> float:
        """Return a finite number of at least `minimum`; `default` if the field is missing."""
        value = float(self._get(key, (int, float), "a number", default))
        if not minimum <= value < float("inf"):
            raise self._error(key, f"a number of at least {minimum:g}")
        return value

    def table(self, key: str) -> TableReader:
        """Return a nested table."""
        return TableReader(self._get(key, (dict,), "a table"), f"{self._path}{key}.")

    def tables(self, key: str) -> list[TableReader]:
        """Return a list of tables; empty if the field is missing."""
        rows = self._get(key, (list,), "a list of tables", default=[])
        if any(not isinstance(row, dict) for row in rows):
            raise self._error(key, "a list of tables")
        return [TableReader(row, f"{self._path}{key}[{number}].") for number, row in enumerate(rows)]

    def strings(self, key: str) -> tuple[str, ...]:
        """Return a list of strings."""
        rows = self._get(key, (list,), "a list of strings")
        if any(not isinstance(row, str) for row in rows):
            raise self._error(key, "a list of strings")
        return tuple(rows)

    def address(self, key: str) -> tuple[str, int]:
        """Return the host and port of a string `HOST:PORT`."""
        host, _, port = self.string(key).rpartition(":")
        if not host or not port.isdigit() or int(port) > MAX_PORT:
            raise self._error(key, "an address of the form HOST:PORT")
        return host, int(port)

    def _get(self, key: str, expected_types: tuple[type, ...], expected: str, default: Any = None) -> Any:
        if key not in self._table:
            if default is not None:
                return default
            raise SettingsError(f"settings: {self._path}{key} is missing")
        value = self._table[key]
        if not isinstance(value, expected_types) or isinstance(value, bool):
            raise self._error(key, expected)
        return value

    def _error(self, key: str, expected: str) -> SettingsError:
        return SettingsError(f"settings: {self._path}{key} must be {expected}")
