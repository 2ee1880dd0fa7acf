"""Tests that writing to the log does not block on its reader."""

from __future__ import annotations

import os

import msgspec
import pytest

from monsoontray.logs import (
    CHUNK_BYTES,
    FieldsLogger,
    JsonFormatter,
    LogOutput,
    NonBlockingSink,
    TextFormatter,
    logger,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    parts = []
    while True:
        try:
            part = os.read(reader, 1 << 20)
        except BlockingIOError:
            return b"".join(parts)
        parts.append(part)


def test_lines_arrive_complete_and_in_order(pipe):
    reader, writer = pipe
    sink = NonBlockingSink(writer)
    for number in range(3):
        sink.write(f"line {number}\n")
    assert read_all(reader) == b"line 0\nline 1\nline 2\n"


def test_stopped_reader_does_not_block_the_writer(pipe):
    reader, writer = pipe
    sink = NonBlockingSink(writer)
    line = "x" * 999 + "\n"
    for _ in range(1000):  # one megabyte, many times the capacity of a pipe
        sink.write(line)
    assert sink.dropped > 0
    kept = read_all(reader).splitlines()
    assert all(len(each) == 999 for each in kept)
    sink.write("after\n")
    note, last = read_all(reader).splitlines()
    assert msgspec.json.decode(note)["n"] == 1000 - len(kept)
    assert last == b"after"


def test_truncated_long_line_is_ended_before_the_next_line(pipe):
    reader, writer = pipe
    sink = NonBlockingSink(writer)
    sink.write("x" * (1 << 20) + "\n")
    first = read_all(reader)
    assert len(first) >= CHUNK_BYTES
    assert not first.endswith(b"\n")
    sink.write("after\n")
    parts = read_all(reader).splitlines()
    assert parts[0] == b""
    assert msgspec.json.decode(parts[1])["n"] == 1
    assert parts[2] == b"after"


def test_line_is_dropped_if_the_reader_closed_the_pipe():
    reader, writer = os.pipe()
    os.close(reader)
    sink = NonBlockingSink(writer)
    sink.write("line\n")
    assert sink.dropped == 1
    os.close(writer)


def test_partially_written_line_is_ended_before_the_next_line(pipe, monkeypatch):
    reader, writer = pipe
    sink = NonBlockingSink(writer)
    write = os.write
    monkeypatch.setattr(os, "write", lambda to, data: write(to, data[:3]))
    sink.write("first\n")
    monkeypatch.undo()
    sink.write("after\n")
    parts = read_all(reader).splitlines()
    assert parts[0] == b"fir"
    assert msgspec.json.decode(parts[1])["n"] == 1
    assert parts[2] == b"after"


@pytest.fixture
def set_output(monkeypatch, pipe):
    def replace_output(formatter):
        output = LogOutput(formatter, NonBlockingSink(pipe[1]), "INFO")
        monkeypatch.setattr(FieldsLogger, "output", output)

    return replace_output


def test_json_line_has_the_bound_fields_and_the_error(pipe, set_output):
    set_output(JsonFormatter("node-0"))
    logger.debug("left out")
    logger.bind(key="a", n=2).bind(n=3).warning("entry {} refused", "x")
    logger.error("task {} crashed", "t", exception=ValueError("why"))
    first, second = map(msgspec.json.decode, read_all(pipe[0]).splitlines())
    assert first["message"] == "entry x refused"
    assert (first["level"], first["node"]) == ("WARNING", "node-0")
    assert (first["key"], first["n"]) == ("a", 3)
    assert first["module"] == __name__
    assert second["error"] == "ValueError('why')"


def test_braces_in_a_message_without_values_are_kept(pipe, set_output):
    set_output(TextFormatter("node-0"))
    logger.bind(zone="a").info("{not a field}")
    line = read_all(pipe[0]).decode()
    assert line.endswith(f"INFO    node-0 {__name__}: {{not a field}} zone=a\n")


def test_text_line_has_the_traceback_of_its_exception(pipe, set_output):
    set_output(TextFormatter("node-0"))
    logger.error("task crashed", exception=ValueError("why"))
    assert read_all(pipe[0]).endswith(b"ValueError: why\n")
