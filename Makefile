# Targets for developers and CI. Every target creates its own virtual environment.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= blue-mahoe
SECONDS ?= 120
SEED ?= 1

.PHONY: test lint format demo soak node-soak bench report clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

lint: $(VENV)/.installed
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: $(VENV)/.installed
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

test: lint
	$(BIN)/python -m bench.run_tests

demo: $(VENV)/.installed
	$(BIN)/python -m bench.demo --deployment=$(DEPLOYMENT)

soak: $(VENV)/.installed
	$(BIN)/python -m bench.soak --seconds=$(SECONDS) --seed=$(SEED)

node-soak: $(VENV)/.installed
	$(BIN)/python -m bench.node_soak --seconds=$(SECONDS) --seed=$(SEED)

bench: $(VENV)/.installed
	mkdir -p run
	$(BIN)/python -m bench.measure --only=$(ONLY) | tee -a run/figures.jsonl

report: $(VENV)/.installed
	$(BIN)/python -m bench.report

clean:
	rm -rf $(VENV) *.egg-info
