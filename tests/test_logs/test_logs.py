"""Test that the log never waits for its reader."""

from __future__ import annotations

import os

import msgspec
import pytest

from monsoontray.logs import CHUNK_BYTES, NonBlockingSink


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


def test_lines_arrive_whole_and_in_order(pipe):
    reader, writer = pipe
    sink = NonBlockingSink(writer)
    for number in range(3):
        sink.write(f"line {number}\n")
    assert read_all(reader) == b"line 0\nline 1\nline 2\n"


def test_a_reader_that_stops_does_not_hold_up_the_writer(pipe):
    reader, writer = pipe
    sink = NonBlockingSink(writer)
    line = "x" * 999 + "\n"
    for _ in range(1000):  # a megabyte, many times what a pipe holds
        sink.write(line)
    assert sink.dropped > 0
    kept = read_all(reader).splitlines()
    assert all(len(each) == 999 for each in kept)
    sink.write("after\n")
    note, last = read_all(reader).splitlines()
    assert msgspec.json.decode(note)["n"] == 1000 - len(kept)
    assert last == b"after"


def test_a_long_line_that_was_cut_is_ended_before_the_next(pipe):
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


def test_a_reader_that_has_gone_is_survived():
    reader, writer = os.pipe()
    os.close(reader)
    sink = NonBlockingSink(writer)
    sink.write("line\n")
    assert sink.dropped == 1
    os.close(writer)


def test_a_line_that_was_written_in_part_is_ended_before_the_next(pipe, monkeypatch):
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
