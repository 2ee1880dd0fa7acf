PYTHON ?= python3.11
VENV := .venv

BINARY := target/monsoontray
BINARY_TOOLS := shiv==1.0.8 click==8.5.1

.PHONY: setup demo test lint binary soak settings-page protocol

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

# Build one executable file that needs only Python 3.11. It unpacks itself once, into
# a folder below $SHIV_ROOT.
binary: setup
	mkdir -p $(dir $(BINARY))
	$(VENV)/bin/pip install --quiet --disable-pip-version-check $(BINARY_TOOLS)
	$(VENV)/bin/shiv --quiet --compressed --console-script monsoontray \
		--python "/usr/bin/env $(PYTHON)" --output-file $(BINARY) \
		--no-deps -r deploy/requirements.txt .

soak: setup
	$(VENV)/bin/python -m bench soak --seed $$(date +%s) --seeds 10

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

settings-page: setup
	$(VENV)/bin/python -m monsoontray.settings.page > docs/SETTINGS.md

protocol: setup
	$(VENV)/bin/python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. --pyi_out=. monsoontray/membership/peer.proto
