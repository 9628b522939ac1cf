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

// DiffBundles returns the differences between the services of two parsed bundles, one
// per line: added (+), removed (-) and changed (~) services, the last with the old and
// new value of each changed key. The result is empty if the services are equal; rules
// and limits are not compared.
func DiffBundles(oldBundle, newBundle *parser.Bundle) (string, error) {
	oldServices, err := flattenServices(oldBundle)
	if err != nil {
		return "", err
	}
	newServices, err := flattenServices(newBundle)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	for _, name := range sortedKeyUnion(oldServices, newServices) {
		switch {
		case oldServices[name] == nil:
			fmt.Fprintf(&out, "+ %s\n", name)
		case newServices[name] == nil:
			fmt.Fprintf(&out, "- %s\n", name)
		case !maps.Equal(oldServices[name], newServices[name]):
			fmt.Fprintf(&out, "~ %s\n", name)
			writeKeyChanges(&out, oldServices[name], newServices[name])
		}
	}
	return out.String(), nil
}

// writeKeyChanges writes the added, removed and changed keys of a service to out.
func writeKeyChanges(out *strings.Builder, oldKeys, newKeys map[string]string) {
	for _, key := range sortedKeyUnion(oldKeys, newKeys) {
		oldValue, inOld := oldKeys[key]
		newValue, inNew := newKeys[key]
		switch {
		case !inOld:
			fmt.Fprintf(out, "    + %s = %s\n", key, newValue)
		case !inNew:
			fmt.Fprintf(out, "    - %s = %s\n", key, oldValue)
		case oldValue != newValue:
			fmt.Fprintf(out, "    %s: %s -> %s\n", key, oldValue, newValue)
		}
	}
}

// sortedKeyUnion returns the keys that a or b has, sorted.
func sortedKeyUnion[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

// flattenServices returns the keys and values of each service as text, by the name of
// the service.
func flattenServices(b *parser.Bundle) (map[string]map[string]string, error) {
	services := make(map[string]map[string]string, len(b.Services))
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
		services[s.Name] = make(map[string]string)
		flattenValue(services[s.Name], "", tree)
	}
	return services, nil
}

// flattenValue adds the keys and values inside v, the value at path, to keys. The
// tables of an array, such as routes, are numbered from 1.
func flattenValue(keys map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, value := range v {
			flattenValue(keys, strings.TrimPrefix(path+"."+key, "."), value)
		}
	case []any:
		if len(v) > 0 {
			if _, isTable := v[0].(map[string]any); isTable {
				for i, value := range v {
					flattenValue(keys, fmt.Sprintf("%s.%d", path, i+1), value)
				}
				return
			}
		}
		keys[path] = fmt.Sprintf("%q", v)
	case string:
		keys[path] = fmt.Sprintf("%q", v)
	default:
		keys[path] = fmt.Sprint(v)
	}
}
