PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= aguapunto
SEED ?= 1
JSON ?= 0
SECONDS_LONG ?= 60

.PHONY: install demo test test-boot lint format binary bench soak slopes proofs

install: $(VENV)/installed

$(VENV)/installed: requirements.txt requirements-reports.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e . || $(BIN)/pip install --quiet --no-deps -e .
	touch $@

demo: install
	$(BIN)/python -m tools.demo --deployment=$(DEPLOYMENT) --seed=$(SEED) $(if $(filter 1,$(JSON)),--json,)

test: install
	$(BIN)/python -m pytest

# The tests that set the time, on clocks that start at the boot of a machine.
test-boot: install
	CLOCK_BASE_S=0.001 $(BIN)/python -m pytest $$(grep -l ManualClock tests/test_*.py)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m tools.import_rules

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

binary: install
	$(BIN)/python -m tools.binary

bench: install
	$(BIN)/python -m benchmarks.relay

soak: install
	$(BIN)/python -m tools.soak --deployment=$(DEPLOYMENT) --seed=$(SEED) --seconds=$(SECONDS_LONG)

slopes: install
	$(BIN)/python -m benchmarks.slopes

proofs: install
	$(BIN)/python -m tools.proofs
