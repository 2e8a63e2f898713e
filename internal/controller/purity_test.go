package controller_test

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// purePackages decide by their inputs alone. Each of them may be stepped in simulated time.
var purePackages = []string{
	"chunk", "clock", "config", "controller", "election", "featuregate", "fleet", "ident", "indexset", "jobs", "leadtransfer",
	"leasedelegation", "policy", "quota", "recovery", "roundlog", "scheduler", "schemaversion", "standby",
}

// forbiddenImport tells whether a package leads out of the process, or makes a decision depend on when it is cancelled.
func forbiddenImport(path string) bool {
	return path == "context" || path == "net" || path == "net/http" || strings.HasPrefix(path, "net/http/") ||
		strings.HasPrefix(path, "google.golang.org/grpc")
}

// TestPurePackagesImportNoNetwork: what decides neither speaks HTTP or gRPC nor waits for a context. Status codes belong to
// the edge, in package node.
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
		if forbiddenImport(path) {
			t.Errorf("%s imports %s", file, path)
		}
	}
}
