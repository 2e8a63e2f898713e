package policy

import (
	"fmt"

	"go.starlark.net/starlark"
)

// maxSectionDepth bounds how deep a section may be nested, because a list in a script may
// contain itself.
const maxSectionDepth = 8

// jsonValue converts a Starlark value to the JSON value of the same structure.
func jsonValue(v starlark.Value) (any, error) { return jsonValueAtDepth(v, 0) }

func jsonValueAtDepth(v starlark.Value, depth int) (any, error) {
	if depth > maxSectionDepth {
		return nil, fmt.Errorf("is nested more than %d deep", maxSectionDepth)
	}
	switch v := v.(type) {
	case starlark.NoneType:
		return nil, nil
	case starlark.Bool:
		return bool(v), nil
	case starlark.String:
		return string(v), nil
	case starlark.Int, starlark.Float:
		f, ok := starlark.AsFloat(v)
		if !ok {
			return nil, fmt.Errorf("%v is out of range", v)
		}
		return f, nil
	case *starlark.List:
		return jsonList(v, depth)
	case *starlark.Dict:
		return jsonObject(v, depth)
	}
	return nil, fmt.Errorf("a %s can't be used in a section", v.Type())
}

func jsonList(list *starlark.List, depth int) (any, error) {
	out := make([]any, 0, list.Len())
	for i := range list.Len() {
		element, err := jsonValueAtDepth(list.Index(i), depth+1)
		if err != nil {
			return nil, err
		}
		out = append(out, element)
	}
	return out, nil
}

func jsonObject(dict *starlark.Dict, depth int) (any, error) {
	out := make(map[string]any, dict.Len())
	for _, item := range dict.Items() {
		key, ok := starlark.AsString(item[0])
		if !ok {
			return nil, fmt.Errorf("%v is not the name of a setting", item[0])
		}
		element, err := jsonValueAtDepth(item[1], depth+1)
		if err != nil {
			return nil, err
		}
		out[key] = element
	}
	return out, nil
}
