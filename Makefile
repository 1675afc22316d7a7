# The lock pins every dependency; `make demo` and `make test` both install from it.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
SECONDS ?= 60
KIND ?= hard

.PHONY: help demo test lint format bench bench-processes capacity soak soak-planted \
	soak-decisions binary clean

help:
	@echo "make demo      set up and run the whole path on loopback"
	@echo "make test      set up and run the tests"
	@echo "make lint      run the formatter check and the linter"
	@echo "make bench     measure the policy against baselines (SEED=$(SEED))"
	@echo "make bench-processes  the same figures from real processes"
	@echo "make capacity  measure the slopes behind docs/CAPACITY.md"
	@echo "make soak      disrupt real processes (SECONDS=$(SECONDS) SEED=$(SEED) KIND=$(KIND))"
	@echo "make soak-planted  play the soak against copies with small faults"
	@echo "make soak-decisions  long randomised runs of decisions (SECONDS, SEED)"
	@echo "make binary    build dist/catkinfork"

$(VENV)/installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps -e .
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m examples.demo

test: $(VENV)/installed
	$(BIN)/python -m pytest

# The plotting library is used by this target only.
$(VENV)/plots: $(VENV)/installed requirements-plots.lock
	$(BIN)/python -m pip install --quiet -r requirements-plots.lock
	touch $@

capacity: $(VENV)/plots
	$(BIN)/python -m benchmarks.capacity

bench-processes: $(VENV)/installed
	$(BIN)/python -m benchmarks.process_run $(SEED)

bench: $(VENV)/installed
	$(BIN)/python -m benchmarks.bench --seed $(SEED)

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

# --venv and --sh-boot: the file unpacks once and then replaces itself by the
# interpreter, so that it stays one process.
binary: $(VENV)/installed
	$(BIN)/pex . --constraints requirements.lock -c catkinfork --venv prepend \
		--sh-boot --python $(BIN)/python -o dist/catkinfork

soak: $(VENV)/installed
	$(BIN)/python -m catkinfork.platform.tests.soak --seconds $(SECONDS) \
		--seed $(SEED) --kind $(KIND)

soak-planted: $(VENV)/installed
	$(BIN)/python -m catkinfork.platform.tests.soak.planted

soak-decisions: $(VENV)/installed
	$(BIN)/python -m benchmarks.soak --seconds $(SECONDS) --seed $(SEED)

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf build dist
