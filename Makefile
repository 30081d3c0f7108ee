PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
SEED ?= 1
STEPS ?= 200
DURATION ?= 20

.PHONY: setup test demo bench slopes fuzz lint format binary proto soak

setup: $(READY)

$(READY): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(READY)

test: setup
	$(BIN)/python -W error::ResourceWarning -m unittest discover -t . -s . -p "test_*.py"

demo: setup
	$(BIN)/python -m demo.main
	$(BIN)/python -m demo.edge

slopes: setup
	$(BIN)/python -m bench.slopes $(SLOPES)

bench: setup
	$(BIN)/python -m bench.main $(BENCH)

fuzz: setup
	$(BIN)/python -m waxwingspool.once.tests.fuzz --seed $(SEED) --steps $(STEPS)

lint: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

format: setup
	$(BIN)/black --quiet .
	$(BIN)/ruff check --quiet --fix .

binary: setup
	mkdir -p dist
	$(BIN)/shiv --quiet --console-script waxwingspool --output-file dist/waxwingspool .
	$(BIN)/python -m tools.check_binary dist/waxwingspool

proto: setup
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. waxwingspool/membership/peer.proto

soak: setup
	$(BIN)/python -m standins.deployment.soak --seed $(SEED) --duration $(DURATION) $(if $(PLANT),--plant $(PLANT))
