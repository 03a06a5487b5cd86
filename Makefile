VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test bench lint format generate

$(STAMP): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m examples.demo

test: $(STAMP)
	mkdir -p build
	$(BIN)/python -m tools.verdict

bench: $(STAMP)
	$(BIN)/python -m benchmarks.run

lint: $(STAMP)
	$(BIN)/pyink --check --quiet . || ($(BIN)/pyink --diff --quiet . ; exit 1)
	$(BIN)/ruff check --quiet .
	$(BIN)/python -m tools.imports

format: $(STAMP)
	$(BIN)/ruff check --quiet --fix . || true
	$(BIN)/pyink --quiet .

generate: $(STAMP)
	$(BIN)/python -m tools.generate
