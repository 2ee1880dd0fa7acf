"""Decode documents, headers and compressed data of other parties."""

from __future__ import annotations

import re
import zlib
from functools import lru_cache
from typing import Any

import msgspec

from monsoontray.decoding.errors import DecodingError

#: Most bytes of a document after decompression.
MAX_DOCUMENT_BYTES = 33_554_432
MAX_DIGITS = 15
_DECIMAL = re.compile(rb"\d+(\.\d+)?")
#: What the decoders raise for invalid data: RecursionError for a document that is
#: nested too deep, even in fields that are skipped.
_INVALID_DATA_ERRORS = (msgspec.DecodeError, RecursionError, ValueError, OverflowError)


def decode_json(data: bytes, schema: Any) -> Any:
    """Return a JSON document as its schema; raise DecodingError."""
    return _decode(_get_json_decoder(schema), data)


def find_json(data: bytes, schema: Any) -> Any:
    """Return a decoded JSON document, or None if it is not valid."""
    try:
        return decode_json(data, schema)
    except DecodingError:
        return None


def decode_msgpack(data: bytes, schema: Any) -> Any:
    """Return a MessagePack document as its schema; raise DecodingError."""
    return _decode(_get_msgpack_decoder(schema), data)


def convert_value(value: object, schema: Any) -> Any:
    """Return a value that is in range of its schema; raise DecodingError."""
    try:
        return msgspec.convert(value, schema)
    except _INVALID_DATA_ERRORS as error:
        raise DecodingError(str(error)) from error


def decompress(data: bytes) -> bytes:
    """Return decompressed data of bounded size; raise DecodingError."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise DecodingError(str(error)) from error
    if not decompressor.eof:
        raise DecodingError("the compressed data is truncated or too large")
    return content


def decode_digits(data: bytes, maximum: int) -> int | None:
    """Return the number that a header's value is, or None if it is not in range."""
    if not data.isdigit() or len(data) > MAX_DIGITS:
        return None
    number = int(data)
    return number if number <= maximum else None


def decode_decimal(data: bytes, maximum: float) -> float | None:
    """Return the decimal number that a header's value is, or None if not in range."""
    if len(data) > MAX_DIGITS or not _DECIMAL.fullmatch(data):
        return None
    number = float(data)
    return number if number <= maximum else None


def _decode(decoder: Any, data: bytes) -> Any:
    try:
        return decoder.decode(data)
    except _INVALID_DATA_ERRORS as error:
        raise DecodingError(str(error)) from error


@lru_cache(maxsize=64)
def _get_json_decoder(schema: Any) -> Any:
    return msgspec.json.Decoder(schema)


@lru_cache(maxsize=64)
def _get_msgpack_decoder(schema: Any) -> Any:
    return msgspec.msgpack.Decoder(schema)
