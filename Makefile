PYTHON ?= python3.11
VENV := .venv

.PHONY: setup demo test lint settings-page protocol

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(VENV)/bin/python -m bench demo

test: setup
	$(VENV)/bin/python -m pytest

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

settings-page: setup
	$(VENV)/bin/python -m monsoontray.settings.page > docs/SETTINGS.md

protocol: setup
	$(VENV)/bin/python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. --pyi_out=. monsoontray/membership/peer.proto
