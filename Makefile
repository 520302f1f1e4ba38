PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test demo measure measure-crashes slopes broken-variants soak evidence

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/pytest

demo: setup
	$(BIN)/leadseam-local

measure: setup
	$(BIN)/python -m tools.measure
	$(BIN)/python -m tools.measure_control

measure-crashes: setup
	$(BIN)/python -m tools.measure_crashes

slopes: setup
	$(BIN)/python -m tools.slopes
	$(BIN)/python -m tools.path_cost

broken-variants: setup
	$(BIN)/python -m tools.broken_variants

soak: setup
	$(BIN)/python -m tools.soak

evidence: setup
	$(BIN)/python -m tools.evidence --bench $(BENCH) $(SITES)
