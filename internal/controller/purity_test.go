package controller_test

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// purePackages lists the packages whose decisions depend on their inputs alone, so that each of them can run in
// simulated time.
var purePackages = []string{
	"chunk", "clock", "config", "controller", "election", "featuregate", "fleet", "ident", "indexset", "jobs", "leadtransfer",
	"leasedelegation", "policy", "quarantine", "quota", "recovery", "roundlog", "scheduler", "schemaversion", "standby",
}

// isForbiddenImport reports whether a package gives access to the network or makes decisions depend on the time of a
// cancellation.
func isForbiddenImport(path string) bool {
	return path == "context" || path == "net" || path == "net/http" || strings.HasPrefix(path, "net/http/") ||
		strings.HasPrefix(path, "google.golang.org/grpc")
}

// TestPurePackagesImportNoNetwork checks that the pure packages use neither HTTP nor gRPC nor contexts. Status codes
// belong to package node, which handles the requests.
func TestPurePackagesImportNoNetwork(t *testing.T) {
	for _, name := range purePackages {
		files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("package %s: %d files, %v", name, len(files), err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkImports(t, file)
			}
		}
	}
}

func checkImports(t *testing.T, file string) {
	t.Helper()
	syntax, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range syntax.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if isForbiddenImport(path) {
			t.Errorf("%s imports %s", file, path)
		}
	}
}
