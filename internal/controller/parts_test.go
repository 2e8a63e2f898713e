package controller

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// partFiles lists, for each component of the leader, the files that may access its fields.
var partFiles = map[string][]string{
	"jobTable":           {"jobtable.go"},
	"schedulingLoop":     {"scheduling.go"},
	"checkpointWriter":   {"fold.go", "staging.go"},
	"epochAdvance":       {"epoch.go"},
	"schemaAgreement":    {"schemaversion.go"},
	"quotaManager":       {"quotas.go"},
	"provisioner":        {"provisioning.go"},
	"machineMonitor":     {"machinemonitor.go"},
	"deferredHeartbeats": {"heartbeats.go"},
	"recoveryProgress":   {"recovery.go"},
}

// noImports is an importer that returns empty packages: the check needs only the types that the controller declares
// itself.
type noImports struct{}

func (noImports) Import(path string) (*types.Package, error) {
	p := types.NewPackage(path, filepath.Base(path))
	p.MarkComplete()
	return p, nil
}

// TestPartsKeepTheirFields checks that the fields of each component are accessed only in the files of that component,
// so that all other code uses its methods.
func TestPartsKeepTheirFields(t *testing.T) {
	files := token.NewFileSet()
	var syntax []*ast.File
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(files, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		syntax = append(syntax, file)
	}
	info := &types.Info{Selections: map[*ast.SelectorExpr]*types.Selection{}}
	config := types.Config{Importer: noImports{}, Error: func(error) {}} // errors are expected, since the imported packages are empty
	pkg, _ := config.Check("controller", files, syntax, info)

	owners := fieldOwners(t, pkg)
	seen := map[string]bool{}
	for selector, selection := range info.Selections {
		part := owners[selection.Obj()]
		if part == "" {
			continue
		}
		seen[part] = true
		position := files.Position(selector.Pos())
		if !slices.Contains(partFiles[part], position.Filename) {
			t.Errorf("%s: field %s of %s is accessed outside the files of its component", position, selection.Obj().Name(), part)
		}
	}
	for part := range partFiles {
		if !seen[part] {
			t.Errorf("no access to a field of %s was found: the check does not work", part)
		}
	}
}

// fieldOwners returns the component that each field belongs to. Embedded fields are left out, since components share
// them.
func fieldOwners(t *testing.T, pkg *types.Package) map[types.Object]string {
	t.Helper()
	owners := map[types.Object]string{}
	for part := range partFiles {
		object := pkg.Scope().Lookup(part)
		if object == nil {
			t.Fatalf("type %s is not declared", part)
		}
		structure, ok := object.Type().Underlying().(*types.Struct)
		if !ok {
			t.Fatalf("type %s is not a struct", part)
		}
		for i := range structure.NumFields() {
			if field := structure.Field(i); !field.Embedded() {
				owners[field] = part
			}
		}
	}
	return owners
}
