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

// partFiles are the files that may touch the fields of each part of the leader.
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

// noImports stands in for the packages that the controller imports: only the types of its own are looked at.
type noImports struct{}

func (noImports) Import(path string) (*types.Package, error) {
	p := types.NewPackage(path, filepath.Base(path))
	p.MarkComplete()
	return p, nil
}

// TestPartsKeepTheirFields: the fields of a part are touched in its own files only. Others call its methods.
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
	config := types.Config{Importer: noImports{}, Error: func(error) {}} // what is imported is missing
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
			t.Errorf("%s: field %s of %s is touched outside its part", position, selection.Obj().Name(), part)
		}
	}
	for part := range partFiles {
		if !seen[part] {
			t.Errorf("no field of %s is touched: the check is blind", part)
		}
	}
}

// fieldOwners maps the fields of all parts to their parts; what is embedded is shared.
func fieldOwners(t *testing.T, pkg *types.Package) map[types.Object]string {
	t.Helper()
	owners := map[types.Object]string{}
	for part := range partFiles {
		object := pkg.Scope().Lookup(part)
		if object == nil {
			t.Fatalf("no type %s", part)
		}
		structure, ok := object.Type().Underlying().(*types.Struct)
		if !ok {
			t.Fatalf("%s is no struct", part)
		}
		for i := range structure.NumFields() {
			if field := structure.Field(i); !field.Embedded() {
				owners[field] = part
			}
		}
	}
	return owners
}
