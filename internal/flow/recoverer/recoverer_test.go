package recoverer_test

import (
	"testing"

	"sardinelever.example/sardinelever/internal/flow/recoverer"
)

// TestCatch guards against a panic that ends the process, and against one that its
// caller does not learn of.
func TestCatch(t *testing.T) {
	before := recoverer.Count()
	if got := failing(); got != "caught" {
		t.Errorf("got %q, want caught", got)
	}
	if got := recoverer.Count() - before; got != 1 {
		t.Errorf("got %d panics counted, want 1", got)
	}
}

func failing() (result string) {
	defer recoverer.Catch("test", func() { result = "caught" })
	panic("test")
}
