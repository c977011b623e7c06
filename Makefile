# Commands for building, testing and demonstrating wisteriakeel.
GO ?= go
BIN := bin
TESTTIME ?= 8m

.PHONY: build test demo proofs generate format lint linkage unit soak

build:
	$(GO) build -o $(BIN)/wisteriakeel .
	$(GO) build -o $(BIN)/bench ./cmd/bench

# The checks that .ci/run calls, cheapest first.
test: format lint build linkage unit

format:
	@out=$$(git ls-files '*.go' ':!*.pb.go' | xargs -r $(GO) tool gofumpt -l); \
	if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

# The binary must use the C library dynamically.
linkage: build
	@ldd $(BIN)/wisteriakeel | grep -q 'libc\.so' || { echo "wisteriakeel is not linked to the C library"; exit 1; }

unit:
	.ci/unit $(TESTTIME)

demo: build
	$(BIN)/bench demo --binary $(BIN)/wisteriakeel

# The fault soak with SEEDS seeds from SEED on, about 1 min each.
SEED ?= 1
SEEDS ?= 1
soak: build
	$(BIN)/bench soak --binary $(BIN)/wisteriakeel --seed $(SEED) --seeds $(SEEDS)

# All proofs with all their seeds, within 15 minutes; a short set runs with the tests.
proofs:
	.ci/proofs

# Needs protoc; the result is committed, so that the build does not need it.
generate:
	$(GO) build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --go_out=. --go_opt=module=wisteriakeel.example/wisteriakeel \
		--go-drpc_out=. --go-drpc_opt=module=wisteriakeel.example/wisteriakeel \
		internal/wire/control/control.proto internal/wire/replica/replica.proto \
		internal/wire/fleet/fleet.proto
