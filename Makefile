# Build, test, lint and run; each is one ordinary Maven or java call.
CONFIG ?= config.json
TOOLS ?=

.PHONY: build test lint format run

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

# The compiler's warnings as errors, the format, Checkstyle, and the rules on which package may know which.
lint:
	mvn -q -B clean test -Dtest=ArchitectureTest
	mvn -q -B formatter:validate@format checkstyle:check@lint

format:
	mvn -q -B formatter:format@format

run: build
	java -XX:+UseSerialGC -Xmx80m -jar target/maplerail.jar serve --config $(CONFIG) $(if $(TOOLS),--tools $(TOOLS))
