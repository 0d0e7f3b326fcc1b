.PHONY: build demo test lint bench

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
