package messenger_test

import (
	"bytes"
	"errors"
	"testing"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// TestInflate guards against a small message that fills the memory of its receiver, against
// one that is cut and taken for whole, and against a message that changes on the way.
func TestInflate(t *testing.T) {
	want := &messenger.Sections{Texts: [][]byte{bytes.Repeat([]byte("a"), 1<<16), []byte("b")}}
	deflated, err := messenger.Deflate(want, 1<<17)
	if err != nil {
		t.Fatal(err)
	}
	got := new(messenger.Sections)
	if err := messenger.Inflate(deflated, got, 1<<17); err != nil || len(got.GetTexts()) != 2 || !bytes.Equal(got.GetTexts()[0], want.GetTexts()[0]) {
		t.Errorf("got %d texts and error %v, want those that were deflated", len(got.GetTexts()), err)
	}
	if err := messenger.Inflate(deflated, new(messenger.Sections), 1<<16); !errors.Is(err, messenger.ErrInvalidMessage) {
		t.Errorf("got error %v for a message over the limit, want one", err)
	}
	if _, err := messenger.Deflate(want, 1<<16); !errors.Is(err, messenger.ErrInvalidMessage) {
		t.Errorf("got error %v for a message over the limit of the sender, want one", err)
	}
	for n := range deflated {
		if err := messenger.Inflate(deflated[:n], new(messenger.Sections), 1<<17); !errors.Is(err, messenger.ErrInvalidMessage) {
			t.Errorf("got error %v after %d of %d bytes, want one", err, n, len(deflated))
		}
	}
}
