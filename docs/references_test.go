// Package docs_test checks that the engineering documentation refers only to files, declarations, log lines
// and tests that exist. It guards against renames that leave stale references in the pages.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const repositoryRoot = ".."

// checkedPages are the pages whose code references are checked. A reference is a code span in backticks, in
// one of three forms:
//
//	`internal/node/node.go`     a file or directory
//	`controller.Core.Step`      a declaration of a package under internal/
//	`"heartbeat deferred"`      a log line or another string literal of the program
var checkedPages = []string{"docs/architecture.md", "docs/glossary.md", "docs/operations.md", "CONTRIBUTING.md"}

var (
	codeSpan           = regexp.MustCompile("`([^`]+)`")
	pathPattern        = regexp.MustCompile(`^(internal|cmd|deploy|docs|examples|tools|bench|\.ci)/[\w./-]*$`)
	declarationPattern = regexp.MustCompile(`^([a-z]+)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?$`)
	quotedTextPattern  = regexp.MustCompile(`^"(.+)"$`)
	testNamePattern    = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w+`)
)

// sourceIndex holds the declarations, string literals and tests in the program's sources.
type sourceIndex struct {
	declared       map[string]bool // "package.Name" and "package.Type.Member"
	packages       map[string]bool // names of packages
	stringLiterals map[string]bool
	tests          map[string]bool // names of tests, benchmarks and fuzz targets
}

func indexSources(t *testing.T) *sourceIndex {
	t.Helper()
	s := &sourceIndex{declared: map[string]bool{}, packages: map[string]bool{}, stringLiterals: map[string]bool{}, tests: map[string]bool{}}
	for _, dir := range []string{"internal", "cmd"} {
		walkGoFiles(t, dir, func(path string, file *ast.File) {
			if strings.HasSuffix(path, "_test.go") {
				s.addTests(file)
			} else {
				s.addFile(file)
			}
		})
	}
	return s
}

// walkGoFiles parses the Go files below a directory of the repository and calls visit for each.
func walkGoFiles(t *testing.T, dir string, visit func(path string, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join(repositoryRoot, dir), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		visit(path, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// readMatchingFiles calls visit for each file of the repository that matches a pattern. At least one file must match.
func readMatchingFiles(t *testing.T, pattern string, visit func(path, content string)) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: %d files, %v", pattern, len(paths), err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		visit(path, string(data))
	}
}

func (s *sourceIndex) addFile(file *ast.File) {
	pkg := file.Name.Name
	s.packages[pkg] = true
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			s.declare(pkg, receiverType(d), d.Name.Name)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				s.addSpec(pkg, spec)
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				s.stringLiterals[text] = true
			}
		}
		return true
	})
}

func (s *sourceIndex) addTests(file *ast.File) {
	for _, decl := range file.Decls {
		if f, ok := decl.(*ast.FuncDecl); ok && testNamePattern.MatchString(f.Name.Name) {
			s.tests[f.Name.Name] = true
		}
	}
}

func (s *sourceIndex) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			s.declare(pkg, "", name.Name)
		}
	case *ast.TypeSpec:
		s.declare(pkg, "", spec.Name.Name)
		switch typ := spec.Type.(type) {
		case *ast.StructType:
			s.addMembers(pkg, spec.Name.Name, typ.Fields)
		case *ast.InterfaceType:
			s.addMembers(pkg, spec.Name.Name, typ.Methods)
		}
	}
}

func (s *sourceIndex) addMembers(pkg, typ string, fields *ast.FieldList) {
	for _, field := range fields.List {
		for _, name := range field.Names {
			s.declare(pkg, typ, name.Name)
		}
	}
}

func (s *sourceIndex) declare(pkg, typ, name string) {
	if typ != "" {
		name = typ + "." + name
	}
	s.declared[pkg+"."+name] = true
}

func receiverType(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	typ := f.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if generic, ok := typ.(*ast.IndexExpr); ok {
		typ = generic.X
	}
	return typ.(*ast.Ident).Name
}

// referenceProblem returns why a code span is a stale reference. It returns "" if the reference is valid or
// the span is not a reference.
func (s *sourceIndex) referenceProblem(span string) string {
	if pathPattern.MatchString(span) {
		if _, err := os.Stat(filepath.Join(repositoryRoot, span)); err != nil {
			return "no such file"
		}
		return ""
	}
	if m := quotedTextPattern.FindStringSubmatch(span); m != nil {
		if !s.stringLiterals[m[1]] {
			return "no source file has this string literal"
		}
		return ""
	}
	if m := declarationPattern.FindStringSubmatch(span); m != nil && s.packages[m[1]] && !s.declared[span] {
		return "not declared"
	}
	return ""
}

// TestPagesReferenceExistingCode checks that each code reference in checkedPages refers to existing code.
func TestPagesReferenceExistingCode(t *testing.T) {
	s := indexSources(t)
	for _, page := range checkedPages {
		data, err := os.ReadFile(filepath.Join(repositoryRoot, page))
		if err != nil {
			t.Error(err)
			continue
		}
		for n, line := range strings.Split(string(data), "\n") {
			for _, m := range codeSpan.FindAllStringSubmatch(line, -1) {
				if problem := s.referenceProblem(m[1]); problem != "" {
					t.Errorf("%s:%d: `%s`: %s", page, n+1, m[1], problem)
				}
			}
		}
	}
}

// TestPagesReferenceExistingTests checks that each test named in any page exists.
func TestPagesReferenceExistingTests(t *testing.T) {
	s := indexSources(t)
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/incidents/*.md"} {
		readMatchingFiles(t, pattern, func(path, content string) {
			for _, name := range testNamePattern.FindAllString(content, -1) {
				if !s.tests[name] {
					t.Errorf("%s: no test %s", path, name)
				}
			}
		})
	}
}

// TestStaleReferencesAreReported checks that referenceProblem reports stale references and accepts valid ones.
func TestStaleReferencesAreReported(t *testing.T) {
	s := indexSources(t)
	for _, stale := range []string{"internal/nowhere/file.go", "controller.NoSuchType", "controller.Core.NoSuchMethod", `"a line that nothing writes"`} {
		if s.referenceProblem(stale) == "" {
			t.Errorf("stale reference `%s` was accepted", stale)
		}
	}
	for _, good := range []string{"internal/controller", "controller.Core", "controller.Core.Step", "go test ./...", "badgerbay check"} {
		if problem := s.referenceProblem(good); problem != "" {
			t.Errorf("`%s`: %s", good, problem)
		}
	}
}
