# Everything runs in a virtual environment that the first target called makes.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format clean bench capacity soak

SEED ?= 1
COUNT ?= 1
MINUTES ?= 0.5

demo: $(STAMP)
	$(PYTHON) -m trefoilhook.demo

test: $(STAMP)
	LOGURU_AUTOINIT=0 $(PYTHON) -m nose2

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

# Writes docs/PLACEMENT_BENCH.md and its plot; the other benches print their tables.
bench: $(STAMP)
	LOGURU_AUTOINIT=0 $(PYTHON) -m bench.placement
	LOGURU_AUTOINIT=0 $(PYTHON) -m bench.slots
	LOGURU_AUTOINIT=0 $(PYTHON) -m bench.ownership
	LOGURU_AUTOINIT=0 $(PYTHON) -m bench.journal
	LOGURU_AUTOINIT=0 $(PYTHON) -m bench.inner

# Measures the slopes again and rewrites the table in docs/CAPACITY.md.
# Real processes under faults from outside; says what was broken, ends with 1 then.
soak: $(STAMP)
	LOGURU_AUTOINIT=0 $(PYTHON) -m trefoilhook.soak --seed $(SEED) --count $(COUNT) --minutes $(MINUTES)

capacity: $(STAMP)
	LOGURU_AUTOINIT=0 $(PYTHON) -m bench.capacity

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

$(STAMP): requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

clean:
	rm -rf $(VENV) build *.egg-info
