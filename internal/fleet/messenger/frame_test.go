package messenger_test

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// TestCutMessage guards against a message of which only a part arrived before its stream
// ended and that is taken for a shorter one.
func TestCutMessage(t *testing.T) {
	want := &messenger.Feed{At: 300, Full: true, Records: []*messenger.Record{{Key: "a", Value: []byte(strings.Repeat("x", 200)), Revision: 7}, {Key: "b", Revision: 9}}}
	var b bytes.Buffer
	if err := messenger.WriteMessage(&b, want); err != nil {
		t.Fatal(err)
	}
	for n := range b.Len() + 1 {
		got := new(messenger.Feed)
		err := messenger.ReadMessage(bufio.NewReader(bytes.NewReader(b.Bytes()[:n])), got)
		if (err == nil) != (n == b.Len()) {
			t.Errorf("got error %v after %d of %d bytes, want one only if it is cut", err, n, b.Len())
		}
	}
}
