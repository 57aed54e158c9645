# Targets for a newcomer: demo, demo-up, demo-down, demo-platform, test, lint, format, check-model, soak, bench-path, bench-control, bench-list.
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: check-model soak demo demo-up demo-down demo-platform test lint format bench-path bench-control bench-list generate

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	scripts/demo.sh

demo-up: $(STAMP)
	scripts/fleet.sh up

demo-down:
	scripts/fleet.sh down

demo-platform: $(STAMP)
	scripts/demo-platform.sh

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench-path: $(STAMP)
	scripts/bench.sh path

bench-control: $(STAMP)
	scripts/bench.sh control

bench-list: $(STAMP)
	$(BIN)/python -m croftpulley.platform.list_bench

# Only for those who change the messages: the generated code is committed.
generate: $(STAMP)
	cd src && ../$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --pyi_out=. \
		--grpc_python_out=. croftpulley/transport/_generated/fleet.proto

# Visits more states than the test suite does; takes minutes.
check-model: $(STAMP)
	CROFTPULLEY_MODEL_TERMS=2 CROFTPULLEY_MODEL_RESTARTS=2 CROFTPULLEY_MODEL_CHANGE_TERMS=3 $(BIN)/python -m pytest -s testing/model

# Real programs under troubles from outside; fifty seeds take about half an hour. SEEDS=7 or 1-50.
SEEDS ?= 1-50
soak: $(STAMP)
	cd testing && ../$(BIN)/python -m soak.run --seeds $(SEEDS)
