package parser

import (
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// index tells where the keys of a TOML text are. Paths hold the positions of
// array elements, for example "routes.1.rank".
type index struct {
	lines   map[string]int // Line of each key and table by path.
	starts  []int          // Offset of each line.
	pairs   []pair         // Top-level expressions in order.
	counts  map[string]int // Elements of each array of tables so far.
	prefix  string
	current unstable.Parser
}

// pair is a key with its value, or a table header, as a range of lines.
type pair struct {
	path   string
	line   int
	header bool
}

// newIndex reads text up to its first syntax error.
func newIndex(text []byte) *index {
	x := &index{lines: make(map[string]int), counts: make(map[string]int), starts: []int{0}}
	for i, b := range text {
		if b == '\n' {
			x.starts = append(x.starts, i+1)
		}
	}
	x.current.Reset(text)
	for x.current.NextExpression() {
		x.add(x.current.Expression())
	}
	return x
}

func (x *index) add(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		x.prefix = x.resolve(n, false)
	case unstable.ArrayTable:
		x.prefix = x.resolve(n, true)
	case unstable.KeyValue:
		path, line := x.pair(x.prefix, n)
		x.pairs = append(x.pairs, pair{path: path, line: line})
		return
	default:
		return
	}
	line := x.line(n)
	x.lines[x.prefix] = line
	x.pairs = append(x.pairs, pair{path: x.prefix, line: line, header: true})
}

// resolve returns the path of a table header; next adds an element to its array.
func (x *index) resolve(n *unstable.Node, next bool) string {
	path := ""
	for it := n.Key(); it.Next(); {
		path = join(path, string(it.Node().Data))
		count := x.counts[path]
		if next && it.IsLast() {
			count++
			x.counts[path] = count
			x.lines[path] = x.line(n)
		}
		if count > 0 {
			path = join(path, strconv.Itoa(count-1))
		}
	}
	return path
}

func (x *index) pair(prefix string, n *unstable.Node) (path string, line int) {
	path = prefix
	for it := n.Key(); it.Next(); {
		path = join(path, string(it.Node().Data))
	}
	line = x.line(n)
	x.lines[path] = line
	x.value(path, line, n.Value())
	return path, line
}

// value indexes the keys inside an inline table or array.
func (x *index) value(path string, line int, v *unstable.Node) {
	i := 0
	for it := v.Children(); it.Next(); {
		switch c := it.Node(); {
		case v.Kind == unstable.InlineTable && c.Kind == unstable.KeyValue:
			x.pair(path, c)
		case v.Kind == unstable.Array && c.Kind != unstable.Comment:
			element := join(path, strconv.Itoa(i))
			x.lines[element] = line
			x.value(element, line, c)
			i++
		}
	}
}

// line returns the line of the first key of n.
func (x *index) line(n *unstable.Node) int {
	it := n.Key()
	if !it.Next() {
		return 0
	}
	return sort.SearchInts(x.starts, int(it.Node().Raw.Offset)+1)
}

// find returns the position in pairs of the last expression that starts at or before line.
func (x *index) find(line int) (int, bool) {
	i := sort.Search(len(x.pairs), func(i int) bool { return x.pairs[i].line > line }) - 1
	return i, i >= 0 && !x.pairs[i].header
}

// blank overwrites the lines of pair i with spaces, so that the rest of the text keeps its lines.
func (x *index) blank(text []byte, i int) {
	end := len(text)
	if i+1 < len(x.pairs) {
		end = x.starts[x.pairs[i+1].line-1]
	}
	for j := x.starts[x.pairs[i].line-1]; j < end; j++ {
		if text[j] != '\n' {
			text[j] = ' '
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// shown returns path without the positions of array elements.
func shown(path string) string {
	var parts []string
	for part := range strings.SplitSeq(path, ".") {
		if _, err := strconv.Atoi(part); err != nil {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ".")
}
