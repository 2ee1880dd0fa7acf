"""Set up the log: lines for people or JSON lines."""

from __future__ import annotations

import sys
from typing import Any

import msgspec
from loguru import logger

_HUMAN = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[node]} {name}: {message} "
    "{extra[fields]}"
)
_OWN_FIELDS = frozenset(("node", "fields", "json"))


def set_up_log(form: str, level: str, node: str, path: str) -> None:
    """Write log lines to a file or standard error; raise OSError."""
    target = path or sys.stderr
    logger.remove()
    logger.configure(extra={"node": node, "fields": ""}, patcher=_add_fields)
    if form == "json":
        logger.add(target, level=level, format=_choose_json, backtrace=False)
    else:
        logger.add(target, level=level, format=_HUMAN, backtrace=False)


def _add_fields(record: Any) -> None:
    extra = record["extra"]
    bound = {name: value for name, value in extra.items() if name not in _OWN_FIELDS}
    extra["fields"] = " ".join(f"{name}={value}" for name, value in bound.items())
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "node": extra["node"],
        "module": record["name"],
        "message": record["message"],
        **bound,
    }
    error = record["exception"]
    if error is not None:
        line["error"] = repr(error.value)
    extra["json"] = msgspec.json.encode(line).decode()


def _choose_json(record: Any) -> str:
    return "{extra[json]}\n"
