package bundler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Diff returns the differences of two parsed bundles as lines of plain text:
// services added (+), removed (-) and changed (~), with each changed key
// before and after. It is empty when the services are equal.
func Diff(before, after *parser.Bundle) (string, error) {
	a, err := flatBundle(before)
	if err != nil {
		return "", err
	}
	b, err := flatBundle(after)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	for _, name := range union(a, b) {
		switch {
		case a[name] == nil:
			fmt.Fprintf(&out, "+ %s\n", name)
		case b[name] == nil:
			fmt.Fprintf(&out, "- %s\n", name)
		case !maps.Equal(a[name], b[name]):
			fmt.Fprintf(&out, "~ %s\n", name)
			diffKeys(&out, a[name], b[name])
		}
	}
	return out.String(), nil
}

func diffKeys(out *strings.Builder, a, b map[string]string) {
	for _, key := range union(a, b) {
		x, before := a[key]
		y, after := b[key]
		switch {
		case !before:
			fmt.Fprintf(out, "    + %s = %s\n", key, y)
		case !after:
			fmt.Fprintf(out, "    - %s = %s\n", key, x)
		case x != y:
			fmt.Fprintf(out, "    %s: %s -> %s\n", key, x, y)
		}
	}
}

func union[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

// flatBundle returns the keys of each service with their values as text.
func flatBundle(b *parser.Bundle) (map[string]map[string]string, error) {
	out := make(map[string]map[string]string, len(b.Services))
	for i := range b.Services {
		s := &b.Services[i]
		text, err := toml.Marshal(s)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s", s.Name)
		}
		var tree map[string]any
		if err := toml.Unmarshal(text, &tree); err != nil {
			return nil, errors.Wrapf(err, "service %s", s.Name)
		}
		out[s.Name] = make(map[string]string)
		flatten(out[s.Name], "", tree)
	}
	return out, nil
}

// flatten writes the keys below v into out; routes are numbered from 1.
func flatten(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, value := range v {
			flatten(out, strings.TrimPrefix(path+"."+key, "."), value)
		}
	case []any:
		if len(v) > 0 {
			if _, table := v[0].(map[string]any); table {
				for i, value := range v {
					flatten(out, fmt.Sprintf("%s.%d", path, i+1), value)
				}
				return
			}
		}
		out[path] = fmt.Sprintf("%q", v)
	case string:
		out[path] = fmt.Sprintf("%q", v)
	default:
		out[path] = fmt.Sprint(v)
	}
}
