package featuregate

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"badgerbay/internal/config"
)

//go:embed features.schema.json
var schemaText []byte

const schemaURL = "features.schema.json"

// compiledSchema returns the schema, which is compiled on the first call. The properties of
// the schema are the sections.
var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(fmt.Sprintf("%s: %v", schemaURL, err))
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, doc); err != nil {
		panic(fmt.Sprintf("%s: %v", schemaURL, err))
	}
	return c.MustCompile(schemaURL)
})

// firstFieldError returns a FieldError for the first field that violates the schema.
func firstFieldError(err error) error {
	var violation *jsonschema.ValidationError
	if !errors.As(err, &violation) {
		return config.FieldErrorf("features", "%w", err)
	}
	for len(violation.Causes) > 0 {
		violation = violation.Causes[0]
	}
	path := slices.Clone(violation.InstanceLocation)
	if extra, ok := violation.ErrorKind.(*kind.AdditionalProperties); ok && len(extra.Properties) > 0 {
		return config.FieldErrorf(strings.Join(append(path, extra.Properties[0]), "."), "is not a setting")
	}
	reason := violation.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return config.FieldErrorf(strings.Join(path, "."), "%s", strings.ReplaceAll(reason, "\n", " "))
}
