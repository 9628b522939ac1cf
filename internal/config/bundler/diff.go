package bundler

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// keyValues holds the keys of a part of a bundle and their values as text.
type keyValues map[string]string

// DiffBundles returns the differences between two parsed bundles, one per line: limits,
// then rules by host and path, then services by name. Each is added (+), removed (-) or
// changed (~), the last with the old and new value of each changed key. The result is
// empty if the bundles differ in version and parent only.
func DiffBundles(oldBundle, newBundle *parser.Bundle) (string, error) {
	var out strings.Builder
	for _, flatten := range []func(*parser.Bundle) (map[string]keyValues, error){flattenLimits, flattenRules, flattenServices} {
		oldItems, err := flatten(oldBundle)
		if err != nil {
			return "", err
		}
		newItems, err := flatten(newBundle)
		if err != nil {
			return "", err
		}
		writeChanges(&out, oldItems, newItems)
	}
	return out.String(), nil
}

// writeChanges writes the added, removed and changed items to out.
func writeChanges(out *strings.Builder, oldItems, newItems map[string]keyValues) {
	for _, id := range sortedKeyUnion(oldItems, newItems) {
		oldKeys, newKeys := oldItems[id], newItems[id]
		switch {
		case oldKeys == nil:
			fmt.Fprintf(out, "+ %s\n", itemLabel(id, newKeys))
		case newKeys == nil:
			fmt.Fprintf(out, "- %s\n", itemLabel(id, oldKeys))
		case !maps.Equal(oldKeys, newKeys):
			fmt.Fprintf(out, "~ %s\n", itemLabel(id, newKeys))
			writeKeyChanges(out, oldKeys, newKeys)
		}
	}
}

// itemLabel returns how the item with the given id is shown: a rule, whose id is host
// and path, with its name, anything else by the id.
func itemLabel(id string, keys keyValues) string {
	if !strings.Contains(id, "/") {
		return id
	}
	if name := strings.Trim(keys["name"], `"`); name != "" {
		return "rule " + name + " for " + id
	}
	return "rule for " + id
}

// writeKeyChanges writes the added, removed and changed keys of an item to out.
func writeKeyChanges(out *strings.Builder, oldKeys, newKeys keyValues) {
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

// flattenLimits returns the limits of b as one item.
func flattenLimits(b *parser.Bundle) (map[string]keyValues, error) {
	keys, err := flattenKeys(b.Limits)
	return map[string]keyValues{"limits of the bundle": keys}, err
}

// flattenRules returns the rules of b by host and path. The weights of the parts are
// keys by service, so that the order of the parts does not count.
func flattenRules(b *parser.Bundle) (map[string]keyValues, error) {
	rules := make(map[string]keyValues, len(b.Rules))
	for _, r := range b.Rules {
		weights := make(map[string]float64)
		for _, p := range r.Parts {
			weights[p.Service] += p.Weight
		}
		r.Parts = nil
		keys, err := flattenKeys(r)
		if err != nil {
			return nil, errors.Wrapf(err, "rule %s", r.Name)
		}
		delete(keys, "parts")
		for service, weight := range weights {
			keys["weight of "+service] = strconv.FormatFloat(weight, 'g', -1, 64)
		}
		rules[r.Host+r.Path] = keys
	}
	return rules, nil
}

// flattenServices returns the services of b by name.
func flattenServices(b *parser.Bundle) (map[string]keyValues, error) {
	services := make(map[string]keyValues, len(b.Services))
	for i := range b.Services {
		keys, err := flattenKeys(&b.Services[i])
		if err != nil {
			return nil, errors.Wrapf(err, "service %s", b.Services[i].Name)
		}
		services[b.Services[i].Name] = keys
	}
	return services, nil
}

// flattenKeys returns the keys of v, a struct, as they would be written to a file.
func flattenKeys(v any) (keyValues, error) {
	text, err := toml.Marshal(v)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	keys := make(keyValues)
	flattenValue(keys, "", tree)
	return keys, nil
}

// flattenValue adds the keys and values inside v, the value at path, to keys. The
// tables of an array, such as routes, are numbered from 1.
func flattenValue(keys keyValues, path string, v any) {
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
