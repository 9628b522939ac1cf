package parser

import (
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyIndex maps the keys of a TOML text to their lines. A path consists of keys and
// the positions of array elements, for example "routes.1.rank".
type keyIndex struct {
	lineByPath    map[string]int // Line of each key and table by path.
	lineOffsets   []int          // Byte offset of each line.
	expressions   []expression   // Table headers and key-value pairs outside of inline tables, in order.
	elementCounts map[string]int // Elements of each array of tables read so far, by path.
	tablePath     string         // Path of the table that was opened last.
	numberPaths   []string       // Paths of the values that are numbers.
	tomlParser    unstable.Parser
}

// expression is a key-value pair or a table header. It starts at line and extends
// to the line before the next expression.
type expression struct {
	path     string
	line     int
	isHeader bool
}

// newKeyIndex indexes text up to its first syntax error.
func newKeyIndex(text []byte) *keyIndex {
	k := &keyIndex{lineByPath: make(map[string]int), elementCounts: make(map[string]int), lineOffsets: []int{0}}
	for i, b := range text {
		if b == '\n' {
			k.lineOffsets = append(k.lineOffsets, i+1)
		}
	}
	k.tomlParser.Reset(text)
	for k.tomlParser.NextExpression() {
		k.addExpression(k.tomlParser.Expression())
	}
	return k
}

// addExpression indexes the expression n; a table header becomes the current table.
func (k *keyIndex) addExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		k.tablePath = k.resolveHeader(n, false)
	case unstable.ArrayTable:
		k.tablePath = k.resolveHeader(n, true)
	case unstable.KeyValue:
		path, line := k.addKeyValue(k.tablePath, n)
		k.expressions = append(k.expressions, expression{path: path, line: line})
		return
	default:
		return
	}
	line := k.lineOf(n)
	k.lineByPath[k.tablePath] = line
	k.expressions = append(k.expressions, expression{path: k.tablePath, line: line, isHeader: true})
}

// resolveHeader returns the path of the table header n. With addElement set, n is the
// header of an array of tables and starts a new element of it.
func (k *keyIndex) resolveHeader(n *unstable.Node, addElement bool) string {
	path := ""
	for it := n.Key(); it.Next(); {
		path = joinPath(path, string(it.Node().Data))
		count := k.elementCounts[path]
		if addElement && it.IsLast() {
			count++
			k.elementCounts[path] = count
			k.lineByPath[path] = k.lineOf(n)
		}
		if count > 0 {
			path = joinPath(path, strconv.Itoa(count-1))
		}
	}
	return path
}

// addKeyValue indexes the key-value pair n of the table at prefix, and the keys inside
// its value. It returns path and line of the key.
func (k *keyIndex) addKeyValue(prefix string, n *unstable.Node) (path string, line int) {
	path = prefix
	for it := n.Key(); it.Next(); {
		path = joinPath(path, string(it.Node().Data))
	}
	line = k.lineOf(n)
	k.lineByPath[path] = line
	k.addNestedKeys(path, line, n.Value())
	return path, line
}

// addNestedKeys indexes the keys and elements inside v, the value at path, if it is an
// inline table or an array. Array elements get the line of the key.
func (k *keyIndex) addNestedKeys(path string, line int, v *unstable.Node) {
	if v.Kind == unstable.Integer || v.Kind == unstable.Float {
		k.numberPaths = append(k.numberPaths, path)
	}
	i := 0
	for it := v.Children(); it.Next(); {
		switch child := it.Node(); {
		case v.Kind == unstable.InlineTable && child.Kind == unstable.KeyValue:
			k.addKeyValue(path, child)
		case v.Kind == unstable.Array && child.Kind != unstable.Comment:
			element := joinPath(path, strconv.Itoa(i))
			k.lineByPath[element] = line
			k.addNestedKeys(element, line, child)
			i++
		}
	}
}

// lineOf returns the line of the first key of n, 0 if n has no key.
func (k *keyIndex) lineOf(n *unstable.Node) int {
	it := n.Key()
	if !it.Next() {
		return 0
	}
	return sort.SearchInts(k.lineOffsets, int(it.Node().Raw.Offset)+1)
}

// closestLine returns the line of path or, if the file does not set it, that of the
// closest enclosing table that the file has; 0 if it has none.
func (k *keyIndex) closestLine(path string) int {
	line := 0
	for line == 0 && path != "" {
		line = k.lineByPath[path]
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return line
}

// findExpression returns the position in expressions of the last one that starts at or
// before line. The result is false if there is none or if it is a table header.
func (k *keyIndex) findExpression(line int) (int, bool) {
	i := sort.Search(len(k.expressions), func(i int) bool { return k.expressions[i].line > line }) - 1
	return i, i >= 0 && !k.expressions[i].isHeader
}

// blankExpression overwrites expression i with spaces. Line feeds stay, so the line
// numbers of the other expressions do not change.
func (k *keyIndex) blankExpression(text []byte, i int) {
	end := len(text)
	if i+1 < len(k.expressions) {
		end = k.lineOffsets[k.expressions[i+1].line-1]
	}
	for j := k.lineOffsets[k.expressions[i].line-1]; j < end; j++ {
		if text[j] != '\n' {
			text[j] = ' '
		}
	}
}

// joinPath appends key, or the position of an array element, to path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// displayPath returns path as shown to users, without the positions of array elements.
func displayPath(path string) string {
	var parts []string
	for part := range strings.SplitSeq(path, ".") {
		if _, err := strconv.Atoi(part); err != nil {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ".")
}
