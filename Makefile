.PHONY: build test lint run demo prove proto sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

# The same checks as in CI.
lint:
	bash .ci/lint

# A node on loopback with both fronts, to try things out.
run: build
	BALANCER_CONFIG=$${BALANCER_CONFIG:-deploy/example.json} exec bin/moorstack -faktory deploy/faktory.toml

# A real node, ten modelled workers, clients, and two workers that die: half a minute.
demo: build
	bin/moorstack emulate demo

# Seeded stories of failure, then real processes whose leader is killed.
prove: build
	bin/moorstack prove config --seeds 40
	bin/moorstack prove config --processes --changes 60

# The Go of the schemas. It needs protoc and the two plug-ins of these versions.
PROTOC_GEN_GO = google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
PROTOC_GEN_GO_GRPC = google.golang.org/grpc/cmd/protoc-gen-go-grpc@v1.6.0
proto:
	mkdir -p bin/tools
	GOBIN=$(CURDIR)/bin/tools go install $(PROTOC_GEN_GO)
	GOBIN=$(CURDIR)/bin/tools go install $(PROTOC_GEN_GO_GRPC)
	PATH=$(CURDIR)/bin/tools:$$PATH protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative internal/schema/*.proto

# What the bench wants beside the site files of our own; its kit is not part of this repository.
KIT_SITES = ../given/kit/sites
sites:
	install -m 644 $(KIT_SITES)/real.json $(KIT_SITES)/wire.json $(KIT_SITES)/unlock.txt deploy/sites/
