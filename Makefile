# make build | test | lint | format | run | quickstart | fleet | conformance | measure WHAT=name SEED=n [SIZE=large] | plot | sites
.PHONY: build test lint format run quickstart fleet conformance measure plot sites clean

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

# The formatter's check, Checkstyle and the compiler's lint, any finding an error; 'make test' runs them too.
lint:
	mvn -q -B spotless:check checkstyle:check clean compile

# Puts all sources into the one form that the build asks for.
format:
	mvn -q -B spotless:apply

# One scheduler by the platform's line; ROUTER_CONFIG names its configuration.
run: build
	@test -n "$$ROUTER_CONFIG" || { echo "ROUTER_CONFIG names no configuration" >&2; exit 2; }
	sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# A scheduler with stand-ins on loopback, jobs on both fronts; ends by itself.
quickstart: build
	java -jar target/laneflow.jar lab quickstart

# Five schedulers with stand-in racks and tenants on loopback, until Ctrl-C: docs/operating-maintenance.md.
fleet: build
	java -jar target/laneflow.jar lab fleet

# The cases of the Gearman protocol against a scheduler; ends by itself, exit code 1 where one fails.
conformance: build
	java -jar target/laneflow.jar lab conformance

# Real processes on loopback; exit code 1 where a promise is broken.
WHAT ?= durable
SEED ?= 7
measure: build
	java -jar target/laneflow.jar lab measure $(WHAT) --seed $(SEED) $(if $(filter large,$(SIZE)),--large)

# How long a fleet takes to settle over its size, in virtual time, drawn anew.
plot:
	mvn -q test -Dtest=SettlePlotTest -Dplot=docs/fleet-settle.png -DargLine=-Djava.awt.headless=true

# Links the files that the bench wants beside a site file; the kit lies beside the checkout.
KIT ?= ../given/kit
sites:
	@test -d "$(KIT)/sites" || { echo "there is no kit at $(KIT): the sites can't be played without it" >&2; exit 2; }
	@for file in real.json wire.json unlock.txt; do ln -sfn "$$(realpath "$(KIT)/sites/$$file")" "deploy/sites/$$file"; done
	@echo "linked: deploy/sites/*.toml can be played"

clean:
	mvn -q clean
