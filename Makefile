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
# tests use fixed seeds. Those that play crowds of clients come last, by themselves,
# since they and the others would take the processor from each other.
test: build
	test -z "$$(gofmt -l .)"
	go vet ./...
	status=0; \
	go test -race -count=1 -timeout 30m $$(go list ./... | grep -v '/test/abuse$$') || status=1; \
	go test -race -count=1 -timeout 30m ./test/abuse || status=1; \
	exit $$status

lint:
	golangci-lint run ./...

generate:
	buf lint
	buf generate
