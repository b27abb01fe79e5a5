.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	@test -z "$$(gofmt -l brain cmd internal)" || { gofmt -l brain cmd internal; exit 1; }
	go vet ./...

# A node on loopback with both fronts, to try things out.
run: build
	BALANCER_CONFIG=$${BALANCER_CONFIG:-deploy/example.json} exec bin/moorstack -faktory deploy/faktory.toml
