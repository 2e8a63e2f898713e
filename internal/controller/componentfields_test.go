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

// componentFiles lists, for each component of the leader, the files that may access its fields.
var componentFiles = map[string][]string{
	"jobTable":           {"jobtable.go"},
	"schedulingLoop":     {"scheduling.go"},
	"checkpointWriter":   {"checkpointwriter.go", "staging.go"},
	"epochAdvance":       {"epoch.go"},
	"schemaAgreement":    {"schemaversion.go"},
	"quotaManager":       {"quotas.go"},
	"provisioner":        {"provisioning.go"},
	"machineMonitor":     {"machinemonitor.go"},
	"deferredHeartbeats": {"heartbeats.go"},
	"recoveryProgress":   {"recovery.go"},
	"waitReporter":       {"waitingjobs.go"},
}

// emptyImporter is an importer that returns empty packages: the check needs only the types that the controller declares
// itself.
type emptyImporter struct{}

func (emptyImporter) Import(path string) (*types.Package, error) {
	p := types.NewPackage(path, filepath.Base(path))
	p.MarkComplete()
	return p, nil
}

// TestComponentFieldsAreAccessedOnlyInTheirFiles checks that the fields of each component are accessed only in the
// files of that component, so that all other code uses its methods.
func TestComponentFieldsAreAccessedOnlyInTheirFiles(t *testing.T) {
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
	// Type errors are expected and ignored, since the imported packages are empty.
	config := types.Config{Importer: emptyImporter{}, Error: func(error) {}}
	pkg, _ := config.Check("controller", files, syntax, info)

	owners := fieldOwners(t, pkg)
	seen := map[string]bool{}
	for selector, selection := range info.Selections {
		component := owners[selection.Obj()]
		if component == "" {
			continue
		}
		seen[component] = true
		position := files.Position(selector.Pos())
		if !slices.Contains(componentFiles[component], position.Filename) {
			t.Errorf("%s: field %s of %s is accessed outside the files of its component", position, selection.Obj().Name(), component)
		}
	}
	for component := range componentFiles {
		if !seen[component] {
			t.Errorf("no access to a field of %s was found: the check does not work", component)
		}
	}
}

// fieldOwners returns the component that each field belongs to. Embedded fields are left out, since components share
// them.
func fieldOwners(t *testing.T, pkg *types.Package) map[types.Object]string {
	t.Helper()
	owners := map[types.Object]string{}
	for component := range componentFiles {
		object := pkg.Scope().Lookup(component)
		if object == nil {
			t.Fatalf("type %s is not declared", component)
		}
		structType, ok := object.Type().Underlying().(*types.Struct)
		if !ok {
			t.Fatalf("type %s is not a struct", component)
		}
		for i := range structType.NumFields() {
			if field := structType.Field(i); !field.Embedded() {
				owners[field] = component
			}
		}
	}
	return owners
}
