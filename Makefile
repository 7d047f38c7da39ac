# `make day` and `make test` each set up a fresh machine by themselves.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

day: $(VENV)/ready
	$(BIN)/gannet-day scripts/bad-day.txt

test: $(VENV)/ready
	PYTHONDONTWRITEBYTECODE=1 $(BIN)/python -m pytest

lint: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

troubles: $(VENV)/ready
	$(BIN)/python bench/troubles.py

$(VENV)/ready: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install -r requirements.txt
	$(BIN)/pip -q install --no-deps --no-build-isolation -e .
	touch $@

.PHONY: day test lint troubles
