# `make demo` and `make test` install everything that a new machine needs.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test lint format wire clean

demo: $(READY)
	$(BIN)/python -m hornbeamdeck demo

test: $(READY)
	$(BIN)/python -m pytest

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Run this only after changing peer.thrift. It needs Debian's thrift-compiler.
wire:
	thrift --gen py:slots,package_prefix=hornbeamdeck.wire.gen. \
		-out hornbeamdeck/wire/gen hornbeamdeck/wire/peer.thrift

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(READY)

clean:
	rm -rf $(VENV) dist build hornbeamdeck.egg-info
