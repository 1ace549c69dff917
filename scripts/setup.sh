#!/usr/bin/env bash
# Installs the build dependencies other than Go: protoc as a Debian package, the linter and the code generators as Go
# modules.
set -euo pipefail
golangci_version=$1
protoc_gen_go_version=$2
protoc_gen_twirp_version=$3
bin=$(go env GOPATH)/bin

has_version() { # has_version BINARY VERSION: true if the binary was built from that module version
  [ -x "$bin/$1" ] && go version -m "$bin/$1" | grep -qF "$2"
}

if ! command -v protoc >/dev/null; then
  apt-get update -qq
  apt-get install -y -qq protobuf-compiler >/dev/null
fi
has_version golangci-lint "$golangci_version" ||
  GOBIN=$bin go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$golangci_version"
has_version protoc-gen-go "$protoc_gen_go_version" ||
  GOBIN=$bin go install "google.golang.org/protobuf/cmd/protoc-gen-go@$protoc_gen_go_version"
has_version protoc-gen-twirp "$protoc_gen_twirp_version" ||
  GOBIN=$bin go install "github.com/twitchtv/twirp/protoc-gen-twirp@$protoc_gen_twirp_version"
