# The README describes `make demo` and `make test`.
BIN := bin

.PHONY: build demo test lint generate

build:
	mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

# Runs programs end to end on several daemons, with simulated engines and services.
demo: build
	$(BIN)/thymeloft-lab demo

# Checks the format, runs go vet, and runs all tests with the race detector. The
# tests use fixed seeds.
test: build
	test -z "$$(gofmt -l .)"
	go vet ./...
	go test -race -count=1 -timeout 30m ./...

lint:
	golangci-lint run ./...

generate:
	buf lint
	buf generate
