package main

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// operatorFlags holds the flag with the address of the instance to query.
type operatorFlags struct {
	Operator netip.AddrPort `default:"127.0.0.1:9090" help:"Operators' listener of the instance."`
}

type statusCommand struct{ operatorFlags }

// Run prints the status of an instance.
func (c *statusCommand) Run(ctx context.Context) error {
	return c.print(ctx, "status", nil)
}

type auditCommand struct{ operatorFlags }

// Run prints the audit trail of an instance.
func (c *auditCommand) Run(ctx context.Context) error {
	return c.print(ctx, "audit", nil)
}

type explainCommand struct {
	operatorFlags
	Method string `arg:"" help:"Method of the call."`
	Path   string `arg:"" help:"Path of the call."`
	Rank   string `help:"Rank that the caller asks for." enum:"urgent,normal,patient," default:""`
	Host   string `help:"Host value of the call."`
}

// explainQuery is the query of a request to /explain.
type explainQuery struct {
	Method string `url:"method"`
	Path   string `url:"path"`
	Rank   string `url:"rank,omitempty"`
	Host   string `url:"host,omitempty"`
}

// Run prints how an instance would handle a call.
func (c *explainCommand) Run(ctx context.Context) error {
	return c.print(ctx, "explain", &explainQuery{c.Method, c.Path, c.Rank, c.Host})
}

// operatorRequestTimeout limits a request to an instance, which responds from memory.
const operatorRequestTimeout = 5 * time.Second

// print requests path with query from the instance and prints the response.
func (f *operatorFlags) print(ctx context.Context, path string, query any) error {
	s := sling.New().Base("http://" + f.Operator.String()).Get(path)
	if query != nil {
		s = s.QueryStruct(query)
	}
	req, err := s.Request()
	if err != nil {
		return errors.Wrap(err, path)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorRequestTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return errors.Wrapf(err, "instance at %s does not answer", f.Operator)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("instance at %s: %s", f.Operator, resp.Status)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return errors.Wrap(err, path)
}

// Help returns the help text about the exit status.
func (operatorFlags) Help() string {
	return "Exit status: 0 when the text was printed; 1 when the instance does not answer; 2 for wrong arguments."
}
