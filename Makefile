MODULES := . cmd/controller cmd/node cmd/router cmd/rwhctl cmd/soak cmd/standin measure
LINT_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
BIN := $(CURDIR)/bin

# Every target works from a fresh clone with Go, make and a module proxy.
.PHONY: explore build bench measure demo soak test lint gopls fmt codes examples generate tidy

build:
	@mkdir -p $(BIN)
	@for p in controller node router rwhctl soak standin; do (cd cmd/$$p && go build -o $(BIN)/$$p .) || exit 1; done

bench:
	go test ./caller ./route ./admit ./balance ./gateway -run '^$$' -bench . -benchtime 2s

# Property tests with new random cases, and each fuzz target for a while.
explore:
	RWH_EXPLORE=1 go test ./formation ./lease ./place ./peer ./ramp ./operator ./balance ./members ./gateway -count=1 -rapid.checks=5000
	go test . -run '^$$' -fuzz FuzzParseManifest -fuzztime 20s
	go test ./daemon -run '^$$' -fuzz FuzzLoadRouter -fuzztime 20s
	go test ./peer -run '^$$' -fuzz FuzzExchange -fuzztime 20s
	go test ./caller -run '^$$' -fuzz FuzzChatBody -fuzztime 20s
	go test ./caller -run '^$$' -fuzz FuzzEventReader -fuzztime 20s
	go test ./platform -run '^$$' -fuzz FuzzDecodeEndpoint -fuzztime 20s
	go test ./platform -run '^$$' -fuzz FuzzDecodeConfiguration -fuzztime 20s

measure: build
	@cd measure && go build -o $(BIN)/measure .
	$(BIN)/measure --bin $(BIN) --out docs/measurements

demo: build
	$(BIN)/standin demo --bin $(BIN) --example examples/pohjatee
	$(BIN)/standin demo --bin $(BIN) --example examples/blue-mahoe

# Real nodes under a plan of faults (PLAN=stops, partitions, pauses, versions, silences); all can be set.
PLAN := faults
NODES := 4
SEED := 1
SEEDS := 50
LENGTH := 20s
soak: build
	$(BIN)/soak --bin $(BIN) --plan $(PLAN) --nodes $(NODES) --seed $(SEED) --seeds $(SEEDS) --length $(LENGTH)

# The variable SKIP of the environment names tests to pass over, as for go test -skip; CI gives those of KNOWN-RED.txt.
# Most tests wait rather than compute, so as many run at once on a machine with few processors.
# Tests bound times, so only two packages run at once. The longest, ./node, begins first.
# The tests of programs run what they build themselves, of which the cache of results knows nothing.
TEST_FLAGS := -timeout 20m -parallel 8 -p 2 -count 1
test:
	go test $(TEST_FLAGS) -skip "$$SKIP" ./node ./...
	@for m in $(filter-out .,$(MODULES)); do (cd $$m && go test $(TEST_FLAGS) -skip "$$SKIP" ./...) || exit 1; done

$(BIN)/golangci-lint-$(LINT_VERSION):
	@mkdir -p $(BIN)
	GOWORK=off GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(BIN)/golangci-lint $@

lint: $(BIN)/golangci-lint-$(LINT_VERSION)
	@for m in $(MODULES); do (cd $$m && $< run --allow-serial-runners --config $(CURDIR)/.golangci.yml ./...) || bad=1; done; [ -z "$$bad" ]

# The language server renames through all modules:
#   bin/gopls-VERSION rename -w FILE:LINE:COLUMN New
gopls: $(BIN)/gopls-$(GOPLS_VERSION)
$(BIN)/gopls-$(GOPLS_VERSION):
	@mkdir -p $(BIN)
	GOWORK=off GOBIN=$(BIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/gopls $@

fmt:
	gofmt -w $$(git ls-files '*.go')

codes:
	go test . -run TestCodesPage -update
	go test ./platform -run TestSignalsPage -update

examples: build
	$(BIN)/standin examples --out examples

tidy:
	@for m in $(MODULES); do (cd $$m && GOWORK=off go mod tidy) || exit 1; done

# Needs protoc, protoc-gen-go and protoc-gen-twirp; the generated code is committed.
generate:
	protoc -I peer/rpc --go_out=. --go_opt=module=redwinghall --twirp_out=. --twirp_opt=module=redwinghall peer/rpc/peer.proto
	protoc -I neighbor/rpc --go_out=. --go_opt=module=redwinghall --twirp_out=. --twirp_opt=module=redwinghall neighbor/rpc/neighbor.proto
