# make build | test | lint | run
.PHONY: build test lint run clean

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

# The compiler's own lint, any warning an error; the tests hold the length of lines and of the module.
lint:
	mvn -q -B clean compile -Dmaven.compiler.failOnWarning=true

# One scheduler by the platform's line; ROUTER_CONFIG names its configuration.
run: build
	@test -n "$$ROUTER_CONFIG" || { echo "ROUTER_CONFIG names no configuration" >&2; exit 2; }
	sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

clean:
	mvn -q clean
