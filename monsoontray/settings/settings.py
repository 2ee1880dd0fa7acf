"""Load and validate settings, and access their values."""

from __future__ import annotations

from difflib import get_close_matches
from functools import lru_cache
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from msgspec import Struct

from monsoontray.decoding.documents import decode_json
from monsoontray.decoding.errors import DecodingError
from monsoontray.settings.declarations import DECLARATIONS, Declaration
from monsoontray.settings.errors import SettingsError

_TYPE_NAMES = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    list: "a list of strings",
}
_ACCEPTED_TYPES: dict[type, tuple[type, ...]] = {float: (int, float)}
MS_PER_S = 1000.0
_MAX_PORT_DIGITS = 5
_URL_SCHEME = "http://"


class Address(Struct, frozen=True):
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Settings:
    """Validated values of all declared settings."""

    __slots__ = ("_values",)

    def __init__(self, values: dict[str, Any]) -> None:
        self._values = values

    def get_string(self, name: str) -> str:
        """Return a setting that is a string."""
        return str(self._values[name])

    def get_int(self, name: str) -> int:
        """Return a setting that is a whole number."""
        return int(self._values[name])

    def get_float(self, name: str) -> float:
        """Return a setting that is a number."""
        return float(self._values[name])

    def get_seconds(self, name: str) -> float:
        """Return a setting in milliseconds as seconds."""
        return float(self._values[name]) / MS_PER_S

    def get_strings(self, name: str) -> tuple[str, ...]:
        """Return a setting that is a list of strings."""
        return tuple(self._values[name])

    def get_address(self, name: str) -> Address:
        """Return a setting that is an address."""
        return parse_address(str(self._values[name]))

    def get_bind_address(self, name: str) -> Address:
        """Return the address to listen on for an address that others connect to."""
        bind = str(self._values.get(name.replace("_address", "_bind_address"), ""))
        return parse_address(bind) if bind else self.get_address(name)

    def get_values(self) -> dict[str, Any]:
        """Return the values of all settings by name."""
        return dict(self._values)


@lru_cache(maxsize=8192)
def parse_address(text: str) -> Address:
    """Return an address from ``IP:PORT``; raise ValueError."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal():
        raise ValueError(f"{text!r} is not IP:PORT")
    try:
        IPv4Address(host)
    except ValueError:
        raise ValueError(f"{text!r} has no valid IPv4 address") from None
    number = int(port) if len(port) <= _MAX_PORT_DIGITS else 0
    if not 0 < number < 65_536:
        raise ValueError(f"{text!r} has a port outside 1 to 65535")
    return Address(host, number)


def parse_url(text: str) -> Address:
    """Return the address in ``http://IP:PORT``; raise ValueError."""
    if not text.startswith(_URL_SCHEME):
        raise ValueError(f"{text!r} is not http://IP:PORT")
    return parse_address(text.removeprefix(_URL_SCHEME).rstrip("/"))


def load_settings(path: Path) -> Settings:
    """Load and validate a settings file; raise SettingsError."""
    try:
        content = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from error
    try:
        document = decode_json(content, Any)
    except DecodingError as error:
        raise SettingsError(f"{path} is not valid JSON: {error}") from error
    return check_settings(document)


def check_settings(document: object) -> Settings:
    """Return validated settings from a decoded document; raise SettingsError."""
    if not isinstance(document, dict):
        raise SettingsError("settings must be a JSON object")
    known = {declaration.name: declaration for declaration in DECLARATIONS}
    for key, value in document.items():
        if key not in known:
            raise SettingsError(_describe_unknown_key(key, value, list(known)))
    values = {}
    for declaration in DECLARATIONS:
        values[declaration.name] = _check_value(declaration, document)
    return Settings(values)


def _describe_unknown_key(key: str, value: object, known: list[str]) -> str:
    message = f"unknown setting {key!r} (value {value!r})"
    nearest = get_close_matches(key, known, n=1, cutoff=0.0)
    return f"{message}; the closest known setting is {nearest[0]!r}"


def _check_value(declaration: Declaration, document: dict[str, Any]) -> Any:
    name = declaration.name
    if name not in document:
        if declaration.required:
            raise SettingsError(f"setting {name!r} is missing")
        return declaration.default
    value = document[name]
    accepted_types = _ACCEPTED_TYPES.get(
        declaration.value_type, (declaration.value_type,)
    )
    if not isinstance(value, accepted_types) or isinstance(value, bool):
        expected = _TYPE_NAMES[declaration.value_type]
        raise SettingsError(f"setting {name!r} must be {expected}, not {value!r}")
    if isinstance(value, list):
        _check_list(declaration, value)
    if isinstance(value, int | float):
        _check_range(declaration, value)
    if isinstance(value, str):
        _check_string(declaration, value)
    return value


def _check_list(declaration: Declaration, value: list[Any]) -> None:
    for item in value:
        if not isinstance(item, str):
            raise SettingsError(
                f"setting {declaration.name!r} must be a list of strings, "
                f"but contains {item!r}"
            )
        _check_string(declaration, item)
    if declaration.required and not value:
        raise SettingsError(
            f"setting {declaration.name!r} must not be empty: {value!r}"
        )


def _check_range(declaration: Declaration, value: float) -> None:
    minimum, maximum = declaration.minimum, declaration.maximum
    too_small = minimum is not None and value < minimum
    too_large = maximum is not None and value > maximum
    if too_small or too_large:
        unit = f" {declaration.unit}" if declaration.unit else ""
        raise SettingsError(
            f"setting {declaration.name!r} must be {minimum} to {maximum}{unit}, "
            f"not {value}"
        )


def _check_string(declaration: Declaration, value: str) -> None:
    name = declaration.name
    if declaration.required and not value:
        raise SettingsError(f"setting {name!r} must not be empty: {value!r}")
    if declaration.choices and value not in declaration.choices:
        choices = ", ".join(declaration.choices)
        raise SettingsError(f"setting {name!r} must be one of {choices}, not {value!r}")
    if value and (declaration.is_address or declaration.is_url):
        parse = parse_url if declaration.is_url else parse_address
        try:
            parse(value)
        except ValueError as error:
            raise SettingsError(f"setting {name!r}: {error}") from None
