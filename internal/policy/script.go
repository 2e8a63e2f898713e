package policy

import (
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Bounds of a script: a faulty script must not prevent the node from starting or stopping.
const (
	maxScriptSteps = 1_000_000
	maxScriptBytes = 256 << 10
)

// evaluate runs a script and returns its globals. The output of print is discarded.
func evaluate(name, script string) (starlark.StringDict, error) {
	if len(script) > maxScriptBytes {
		return nil, fieldErrorf("script", "larger than %d bytes", maxScriptBytes)
	}
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxScriptSteps)
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{TopLevelControl: true}, thread, name, script, nil)
	if err != nil {
		return nil, fieldErrorf("script", "%s", oneLine(err.Error()))
	}
	return globals, nil
}

var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// oneLine replaces each line break in a message by a space.
func oneLine(s string) string { return lineBreaks.Replace(s) }
