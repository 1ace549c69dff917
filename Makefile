# flamingohall: build, test and demonstrate. "make help" lists the targets.
SHELL := /bin/bash
MODULES := core node platform tools
BIN := $(CURDIR)/bin
TOOLBIN := $(shell go env GOPATH)/bin
export PATH := $(TOOLBIN):$(PATH)

GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_TWIRP_VERSION := v8.1.3+incompatible
SEED ?= 1
MINUTES ?= 5

.PHONY: deploy-build tidy-check help setup build generate generated-is-current format-check lint unit race test demo soak

help: ## list the targets
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*##/\t/'

setup: ## install the generator and the linter
	./scripts/setup.sh $(GOLANGCI_VERSION) $(PROTOC_GEN_GO_VERSION) $(PROTOC_GEN_TWIRP_VERSION)

build: ## build both binaries into bin/
	mkdir -p $(BIN)
	cd node && go build -o $(BIN)/flamingohalld ./cmd/flamingohalld
	cd tools && go build -o $(BIN)/flamingohall ./cmd/flamingohall

generate: ## generate code and documentation pages
	cd node && protoc --proto_path=rpc --go_out=rpc --go_opt=paths=source_relative \
		--twirp_out=rpc --twirp_opt=paths=source_relative rpc/flamingohall.proto
	cd node && go run ./cmd/flamingohalld events > ../docs/EVENTS.md
	cd tools && go run ./cmd/flamingohall docs > ../docs/CLI.md

generated-is-current: generate ## fail when committed generated files differ
	git diff --exit-code -- node/rpc docs/EVENTS.md docs/CLI.md

format-check: ## fail when a file is not formatted
	@for m in $(MODULES); do (cd $$m && out=$$(golangci-lint fmt --diff ./...) && [ -z "$$out" ] || { echo "$$out"; exit 1; }) || exit 1; done

lint: ## run the linter
	@for m in $(MODULES); do (cd $$m && golangci-lint run --allow-parallel-runners ./...) || exit 1; done

unit: ## run all tests
	./scripts/test.sh "$(MODULES)"

race: ## run the tests of the concurrent packages under the race detector
	./scripts/test.sh "node platform" -race -short

deploy-build: ## run the build command of deploy/system.toml
	bash -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"
	target/flamingohalld --version

tidy-check: ## fail when a go.mod or go.sum is not tidy
	@for m in $(MODULES); do (cd $$m && go mod tidy -diff) || exit 1; done

test: setup tidy-check format-check lint generated-is-current build deploy-build unit race ## everything that CI runs

demo: ## start the processes, run the sample jobs, print the reports and stop
	./scripts/demo.sh

soak: build ## run the property tests with new seeds: make soak SEED=1 MINUTES=5
	./scripts/soak.sh $(SEED) $(MINUTES)
