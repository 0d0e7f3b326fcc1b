.PHONY: build demo test lint bench soak

build:
	CGO_ENABLED=1 go build -o bin/ ./cmd/...

demo:
	@scripts/demo.sh

test:
	@scripts/test.sh

lint:
	@scripts/lint.sh

bench: build
	@scripts/bench.sh

SEED ?= 1
RUNS ?= 1

soak: build
	bin/tamarackbench soak --seed $(SEED) --runs $(RUNS)
