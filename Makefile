# Development tasks; make help lists them.
MODULES := core balancer operator platform standin
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
FUMPT := mvdan.cc/gofumpt@v0.12.0

.PHONY: help build demo up test red redsoak lint format check bench fuzz soak capacity compare throughput

help: ## list the tasks
	@grep -hE '^[a-z]+:.*## ' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

build: ## build the three programs into bin
	go build -o bin/cranberryspan ./balancer
	go build -o bin/spanctl ./operator
	go build -o bin/standin ./standin

demo: build ## run the examples Sicily and Tasmania one after the other, with eight hosts each
	scripts/demo.sh examples/sicily.yaml streams:ledger:40,checks:ledger:40,uploads:intake:8 20s
	scripts/demo.sh examples/tasmania.yaml streams:meter-live:40,presses:meter-live:30,uploads:diary-ingest:8 20s

up: build ## start the example Sicily and keep it running until interrupted
	scripts/up.sh examples/sicily.yaml

check: lint test red ## run all checks of CI

test: ## run all tests, but those listed in the file KNOWN_RED if it is set
	scripts/test.sh '$(KNOWN_RED)' $(MODULES)

lint: ## check formatting and run the linter
	@test -z "$$(go run $(FUMPT) -l $(MODULES))" || { go run $(FUMPT) -l $(MODULES); exit 1; }
	for m in $(MODULES); do (cd $$m && go run $(LINT) run --config ../.golangci.yaml ./...) || exit 1; done

format: ## format the source
	go run $(FUMPT) -w $(MODULES)

red: ## check that each regression test fails without the mechanism it tests
	scripts/red.sh

redsoak: ## check that the soak test finds problems when a mechanism is removed
	scripts/redsoak.sh

bench: ## run the benchmarks of the hot paths
	go test -run '^$$' -bench . -benchmem ./core/...

throughput: build ## measure checks per second and added latency of one host
	scripts/throughput.sh

fuzz: ## run the stateful fuzz tests and the decoders' fuzz tests for longer
	go test ./core/reducer -run TestFleetAgainstOracle -rapid.checks=3000 -rapid.steps=100 -rapid.seed=$$(date +%s)
	go test ./core/encoder -run '^$$' -fuzz FuzzOpen -fuzztime 30s
	go test ./core/encoder -run '^$$' -fuzz FuzzDecodeDelivery -fuzztime 30s
	go test ./core/translator -run '^$$' -fuzz FuzzDecode -fuzztime 30s
	go test ./core/encoder -run '^$$' -fuzz FuzzDecodeTargets -fuzztime 30s
	go test ./core/resolver -run '^$$' -fuzz FuzzResolve -fuzztime 30s
	go test ./core/steerer -run TestFleetAgainstOracle -rapid.checks=3000 -rapid.steps=100 -rapid.seed=$$(date +%s)
	go test ./platform -run '^$$' -fuzz 'FuzzDecode$$' -fuzztime 30s
	go test ./platform -run '^$$' -fuzz FuzzDecodeSettings -fuzztime 30s
	go test ./platform -run '^$$' -fuzz FuzzDecodeTarget -fuzztime 30s

soak: build ## run real hosts under random faults: make soak SEED=7 RUNS=5
	bin/standin soak --seed $(or $(SEED),1) --runs $(or $(RUNS),1)

capacity: build ## measure the costs in docs/CAPACITY.md and draw the plots
	bin/standin capacity --out docs
	go test ./core/steerer -count=1 -run 'TestControlTraffic|TestFlowsTake' -v -largestZone 87
	go test ./core/steerer -run '^$$' -bench .

compare: build ## compare the load balancer with simpler placement policies
	bin/standin compare
