package classifier_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/router"
)

// newTable returns a routing table with one service and one route.
func newTable() *router.RoutingTable {
	return router.NewRoutingTable(&parser.Bundle{Version: 1, Services: []parser.Service{{
		Name: "guidance", Slots: 2, Deadline: parser.Duration(2 * time.Second),
		Routes: []parser.Route{{Path: "/lookup", Rank: parser.Urgent, Idempotent: true}},
	}}}, nil)
}

// parseRequest returns a request for the route of newTable with the headers in head.
func parseRequest(head string) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(strings.NewReader("GET /guidance/lookup HTTP/1.1\r\nHost: x\r\n" + head + "\r\n\r\n")))
}

// TestInvalidHeaders guards against a call with an invalid header that is forwarded
// with an assumed value, and against a valid header that is rejected.
func TestInvalidHeaders(t *testing.T) {
	tests := []struct{ name, head, want string }{
		{"none", "", ""},
		{"all", "Sardine-Rank: patient\r\nSardine-Deadline: 5\r\nSardine-Depth: 32\r\nSardine-Budget: 0\r\nSardine-Attempt: 2", ""},
		{"rank", "Sardine-Rank: first", "Sardine-Rank"},
		{"deadline", "Sardine-Deadline: soon", "Sardine-Deadline"},
		{"negative", "Sardine-Deadline: -1", "Sardine-Deadline"},
		{"overflow", "Sardine-Deadline: 99999999999999999999", "Sardine-Deadline"},
		{"depth", "Sardine-Depth: 33", "Sardine-Depth"},
		{"budget", "Sardine-Budget: x", "Sardine-Budget"},
		{"identity", "Sardine-Id: " + strings.Repeat("a", 256), "Sardine-Id"},
		{"identities", "Idempotency-Key: a\r\nIdempotency-Key: b", "Idempotency-Key"},
		{"size", "X-Large: " + strings.Repeat("a", 64<<10), "headers"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := parseRequest(tt.head)
			if err != nil {
				t.Fatal(err)
			}
			_, err = classifier.ClassifyRequest(newTable(), translator.Native{}, r, time.Now())
			if tt.want == "" && err != nil || tt.want != "" && (!errors.Is(err, classifier.ErrInvalidHeader) || !strings.Contains(err.Error(), tt.want)) {
				t.Errorf("got error %v, want one about %q", err, tt.want)
			}
		})
	}
}

// FuzzHeaders guards against headers that give a call a value beyond the limits: a
// deadline that is too late, an unknown rank, or a depth, retry budget, number of
// the attempt or idempotency key out of range.
func FuzzHeaders(f *testing.F) {
	f.Fuzz(func(t *testing.T, head string) {
		r, err := parseRequest(head)
		if err != nil {
			t.Skip()
		}
		now := time.Now()
		c, err := classifier.ClassifyRequest(newTable(), translator.Native{}, r, now)
		if err != nil {
			return
		}
		if c.Deadline.Before(now) || c.Deadline.After(now.Add(10*time.Second)) {
			t.Errorf("got deadline %v, want between %v and 10s later", c.Deadline, now)
		}
		if c.Depth < 0 || c.Depth > classifier.MaxCallDepth || c.RetryBudget < 0 || c.Attempt < 0 || len(c.IdempotencyKey) > 255 {
			t.Errorf("got %+v, want values within the limits", c)
		}
		if c.Rank >= parser.RankCount {
			t.Errorf("got rank %d, want one of %d", c.Rank, parser.RankCount)
		}
	})
}

// TestRuleMatch guards against a call that matches a rule with a shorter path than
// the longest one, a call that matches without a rule for its host and path, and a
// call that does not get the parameters of its rule.
func TestRuleMatch(t *testing.T) {
	parts := func(name string) []parser.Part { return []parser.Part{{Service: name, Weight: 1}} }
	table := router.NewRoutingTable(&parser.Bundle{
		Version: 1, Services: []parser.Service{{Name: "a", Slots: 1}, {Name: "b", Slots: 1}},
		Rules: []parser.Rule{
			{Host: "h.example", Path: "/x/", Parts: parts("a"), Rank: parser.Patient, Deadline: parser.Duration(time.Second), Attempts: 3},
			{Host: "h.example", Path: "/x/y/", Parts: parts("b"), Idempotent: true, Target: parser.Duration(100 * time.Millisecond)},
		},
	}, nil)
	now := time.Now()
	for _, test := range []struct{ host, path, want string }{
		{"h.example", "/x/1", "a"},
		{"h.example:80", "/x/y/1", "b"},
		{"h.example", "/x", ""},
		{"other.example", "/x/1", ""},
		{"other.example", "/a/1", ""},
	} {
		r, err := http.NewRequest(http.MethodGet, "http://"+test.host+test.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		c, err := classifier.ClassifyRequest(table, translator.Native{}, r, now)
		got := ""
		if err == nil {
			got = c.Service.Name
		}
		if got != test.want || err != nil && !errors.Is(err, classifier.ErrNoService) {
			t.Errorf("%s%s: got service %q, %v, want %q", test.host, test.path, got, err, test.want)
		}
		if got == "a" && (c.Deadline != now.Add(time.Second) || c.RetryBudget != 2 || c.Rank != parser.Patient || c.Idempotent) {
			t.Errorf("got %+v, want 1 s, 2 retries, patient and not idempotent", c)
		}
		if got == "b" && c.TargetTime != now.Add(100*time.Millisecond) {
			t.Errorf("got target %v, want 100 ms from now", c.TargetTime.Sub(now))
		}
	}
}
