# Commands of the workspace; `make demo` and `make test` work on a fresh machine.
PYTHON ?= python3.11
VENV ?= .venv
PACKAGES := decisions common node ctl standins bench gateway
BIN := $(VENV)/bin
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p))):$(CURDIR)/platform:$(CURDIR)
export PYTHONHASHSEED := 0

.PHONY: install format lint types docs unit test demo measure matrix capacity cost soak

install: $(VENV)/installed

$(VENV)/installed: constraints.txt requirements-dev.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt \
		-r requirements-dev.txt $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

format: install
	$(BIN)/ruff format packages platform tests
	$(BIN)/ruff check --fix packages platform tests

lint: install
	$(BIN)/ruff format --check packages platform tests
	$(BIN)/ruff check packages platform tests

types: install
	$(BIN)/mypy $(foreach p,$(PACKAGES),packages/$(p)) platform

docs: install
	$(BIN)/python -m cicadapassctl.pages docs
	$(BIN)/python -m cicadapass.metricspage docs

unit: install
	$(BIN)/python -m tests.run

test: lint types unit

demo: install
	$(BIN)/python -m cicadapass_bench.demo

measure: install
	$(BIN)/python -m cicadapass_bench.measure

matrix: install
	$(BIN)/python -m cicadapass_bench.matrix

soak: install
	$(BIN)/python -m tests.soak

capacity: install
	$(BIN)/python -m cicadapass_bench.capacity

# `make cost AGAINST=COMMIT` prints ratios to an earlier commit.
cost: install
	$(BIN)/python -m cicadapass_bench.cost $(if $(AGAINST),--against $(AGAINST))
