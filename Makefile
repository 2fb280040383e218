# make build | test | lint | format | run | quickstart | fleet | conformance | measure WHAT=name SEED=n [SIZE=large] | plot | sites
.PHONY: build test lint format run quickstart fleet conformance measure plot sites clean

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

# The formatter's check, Checkstyle and the compiler's lint; any finding is an error. 'make test' runs them too.
lint:
	mvn -q -B spotless:check checkstyle:check clean compile

# Formats all sources as the build requires.
format:
	mvn -q -B spotless:apply

# Runs one scheduler with the platform's run line; ROUTER_CONFIG names its configuration file.
run: build
	@test -n "$$ROUTER_CONFIG" || { echo "ROUTER_CONFIG names no configuration" >&2; exit 2; }
	sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# Runs a scheduler with stand-ins on loopback and sends jobs to both fronts; ends by itself.
quickstart: build
	java -jar target/laneflow.jar lab quickstart

# Runs five schedulers with stand-in racks and tenants on loopback until Ctrl-C: docs/operating-maintenance.md.
fleet: build
	java -jar target/laneflow.jar lab fleet

# Runs the Gearman protocol's test cases against a scheduler; exit code 1 if one fails.
conformance: build
	java -jar target/laneflow.jar lab conformance

# Measures a subsystem with real processes on loopback; exit code 1 if a guarantee is not met.
WHAT ?= durable
SEED ?= 7
measure: build
	java -jar target/laneflow.jar lab measure $(WHAT) --seed $(SEED) $(if $(filter large,$(SIZE)),--large)

# Redraws the plot of how long a fleet takes to settle, in virtual time, over its size.
plot:
	mvn -q test -Dtest=SettlePlotTest -Dplot=docs/fleet-settle.png -DargLine=-Djava.awt.headless=true

# Links the files that the bench expects beside a site file; the kit is expected beside the checkout.
KIT ?= ../given/kit
sites:
	@test -d "$(KIT)/sites" || { echo "there is no kit at $(KIT): the sites can't be played without it" >&2; exit 2; }
	@for file in real.json wire.json unlock.txt; do ln -sfn "$$(realpath "$(KIT)/sites/$$file")" "deploy/sites/$$file"; done
	@echo "linked: deploy/sites/*.toml can be played"

clean:
	mvn -q clean
