# Every target is listed by `make help`.
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: help build demo capacity burst test soak race bench generate lint fmt replay

help: ## list all targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 14

build: ## build all programs into bin/
	$(GO) build -o bin/ ./cmd/...

test: ## run all tests
	@./scripts/test

demo: build ## run a small fleet, kill an entry host under load and print the outcome
	./bin/tamarack-demo

soak: ## random faults for SOAK=3m and properties, with fresh seeds
	@./scripts/soak

race: ## run all tests under the race detector
	@./scripts/test -race

capacity: build ## measure what the control plane costs at several sizes (some ten minutes)
	./bin/tamarack-capacity cost

burst: build ## rotating bursts at today's size with real processes, fixed pools against both profiles (five minutes)
	./bin/tamarack-capacity burst

bench: ## run all benchmarks
	$(GO) test -run '^$$' -bench . -benchmem ./...

lint: ## run the formatter check, vet and staticcheck
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(TOOL) staticcheck ./...

generate: ## regenerate the code under internal/gen from proto/
	cd proto && $(GO) tool -modfile=../tools/go.mod buf generate

REPLAY = $(GO) run ./cmd/tamarack-replay
replay: ## replay all policies over the traces at today's size and print the tables
	@mkdir -p bin/traces
	@for s in steady rotating rackloss wave outage wrong cancel; do \
	  $(REPLAY) generate --scenario $$s --seed 1 --hosts 8 --spare 8 --duration 300s --out bin/traces/$$s.jsonl && \
	  $(REPLAY) run bin/traces/$$s.jsonl || exit 1; done
