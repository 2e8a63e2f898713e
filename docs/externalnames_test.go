package docs_test

import (
	"go/ast"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	// externalNamesFile lists the names that other programs and people depend on, one a line, below headings that begin
	// with "#": message fields and values, stored keys, settings, flags, metrics, log keys and quoted log lines.
	externalNamesFile = "testdata/external-names.txt"
	// minExternalNames guards against a list that was truncated by mistake.
	minExternalNames = 500
)

// wordFiles are the files, besides the Go sources, whose words count as names: the gRPC protocol, the operators' default
// settings, the schema of the features, the deploy file and the help of the command line.
var wordFiles = []string{
	"internal/peer/meshpb/mesh.proto",
	"internal/policy/default.star",
	"internal/featuregate/features.schema.json",
	"deploy/service.toml",
	"cmd/badgerbay/testdata/golden/*.txt",
}

var (
	tagValuePattern = regexp.MustCompile(`\b\w+:"([^",]*)`)
	wordPattern     = regexp.MustCompile(`(?:--)?[\w./]*\w`)
)

// namesInSources returns all names in the program's sources: string literals, values of struct tags, names of types,
// because some error messages contain them, and the words of wordFiles.
func namesInSources(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, dir := range []string{"internal", "cmd/badgerbay"} {
		walkGoFiles(t, dir, func(path string, file *ast.File) {
			if isPartOfProgram(path) {
				addNames(t, file, names)
			}
		})
	}
	for _, pattern := range wordFiles {
		readMatchingFiles(t, pattern, func(_, content string) {
			for _, word := range wordPattern.FindAllString(content, -1) {
				names[word] = true
			}
		})
	}
	return names
}

// isPartOfProgram reports whether a Go file is hand-written source of the program itself. Names in tests, in the fakes
// and in generated code don't show that the program still uses them.
func isPartOfProgram(path string) bool {
	dir := filepath.Base(filepath.Dir(path))
	return dir != "fake" && dir != "meshpb" && !strings.HasSuffix(path, "_test.go")
}

func addNames(t *testing.T, file *ast.File, names map[string]bool) {
	t.Helper()
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.TypeSpec:
			names[n.Name.Name] = true
		case *ast.Field:
			if n.Tag != nil {
				for _, m := range tagValuePattern.FindAllStringSubmatch(n.Tag.Value, -1) {
					names[m[1]] = true
				}
			}
		case *ast.BasicLit:
			if n.Kind == token.STRING {
				text, err := strconv.Unquote(n.Value)
				if err != nil {
					t.Fatal(err)
				}
				names[text] = true
			}
		}
		return true
	})
}

// TestExternalNamesAreKept checks that the sources still contain every listed name, letter for letter. It guards against
// renames that break other versions of the program, users, workers, operators' tools or the reading of stored records.
func TestExternalNamesAreKept(t *testing.T) {
	data, err := os.ReadFile(externalNamesFile)
	if err != nil {
		t.Fatal(err)
	}
	known := namesInSources(t)
	count := 0
	for n, name := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		if name == "" || strings.HasPrefix(name, "#") {
			continue
		}
		count++
		_, err := os.Stat(filepath.Join(repositoryRoot, name))
		if err != nil && !known[name] {
			t.Errorf("%s:%d: no source contains %q", externalNamesFile, n+1, name)
		}
	}
	if count < minExternalNames {
		t.Errorf("%s lists %d names, want at least %d", externalNamesFile, count, minExternalNames)
	}
}

// TestExternalNamesCheckFindsMissingNames checks that namesInSources contains names that the program uses, and none that
// it does not.
func TestExternalNamesCheckFindsMissingNames(t *testing.T) {
	known := namesInSources(t)
	for _, name := range []string{"no_such_total", "noSuchField", "--no-such-flag"} {
		if known[name] {
			t.Errorf("%q was found, although no source contains it", name)
		}
	}
	for _, name := range []string{"seal", "OUTCOME_KNOWN", "lease_s", "leadership acquired", "--config"} {
		if !known[name] {
			t.Errorf("%q was not found", name)
		}
	}
}
