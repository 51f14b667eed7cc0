PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test demo lint format bench bench-relay bench-scale setup clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

setup: $(STAMP)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m tests.run

demo: $(STAMP)
	$(BIN)/sequoiamoor demo

bench: $(STAMP)
	$(BIN)/python -m benchmarks.fairness

bench-relay: $(STAMP)
	$(BIN)/python -m benchmarks.relay

bench-scale: $(STAMP)
	$(BIN)/python -m benchmarks.scale

clean:
	rm -rf $(VENV) build *.egg-info
