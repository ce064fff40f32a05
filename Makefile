# Every task starts here: make help lists them.
MODULES := core balancer operator standin
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
FUMPT := mvdan.cc/gofumpt@v0.12.0

.PHONY: help build demo test lint format bench fuzz capacity

help: ## list the tasks
	@grep -hE '^[a-z]+:.*## ' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

build: ## build the three programs into bin
	go build -o bin/cranberryspan ./balancer
	go build -o bin/spanctl ./operator
	go build -o bin/standin ./standin

demo: build ## run Sicily's and then Tasmania's tree with eight hosts each
	scripts/demo.sh examples/sicily.yaml streams:ledger:40,checks:ledger:40,uploads:intake:8 20s
	scripts/demo.sh examples/tasmania.yaml streams:meter-live:40,presses:meter-live:30,uploads:diary-ingest:8 20s

test: ## run every test
	go test $(addsuffix /...,$(addprefix ./,$(MODULES)))

lint: ## check format and lint
	@test -z "$$(go run $(FUMPT) -l $(MODULES))" || { go run $(FUMPT) -l $(MODULES); exit 1; }
	for m in $(MODULES); do (cd $$m && go run $(LINT) run --config ../.golangci.yaml ./...) || exit 1; done

format: ## format the source
	go run $(FUMPT) -w $(MODULES)
