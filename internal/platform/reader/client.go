package reader

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// MaxValueBytes is the size of the largest value of the configuration service.
const MaxValueBytes = 1 << 20

// ErrNoPlatformResponse reports that the platform is unreachable or sent an
// unexpected response.
var ErrNoPlatformResponse = errors.New("no valid response from the platform")

// ConfigValue is a value of the configuration service with its revision.
type ConfigValue struct {
	Revision uint64
	Text     []byte
}

// Client reads from the platform over HTTP.
type Client struct {
	BaseURL string       // URL of the platform, without a slash at the end.
	HTTP    *http.Client // nil means http.DefaultClient.
}

// configQuery holds the query parameters of a read of the configuration.
type configQuery struct {
	After uint64 `url:"after"`
	Wait  string `url:"wait"`
}

// ReadConfig returns the bundle as soon as its revision differs from after. It
// returns nil when that does not happen within wait.
func (c *Client) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (*ConfigValue, error) {
	q := configQuery{After: after, Wait: wait.String()}
	req, err := c.newRequest().Get("config").QueryStruct(q).Request()
	if err != nil {
		return nil, errors.Wrap(err, "config request")
	}
	resp, err := c.httpClient().Do(req.WithContext(ctx))
	if err != nil {
		return nil, errors.Wrapf(ErrNoPlatformResponse, "config: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrNoPlatformResponse, "config: status %d", resp.StatusCode)
	}
	return readValue(resp)
}

// ReadList returns the platform's list of instances and backend servers.
func (c *Client) ReadList(ctx context.Context) (*List, error) {
	l, _, err := c.ReadListIfChanged(ctx, "")
	return l, err
}

// ReadListIfChanged returns the platform's list and its entity tag, or nil when the
// entity tag still equals tag. A platform that sends no entity tags always
// returns the list.
func (c *Client) ReadListIfChanged(ctx context.Context, tag string) (l *List, latest string, err error) {
	s := c.newRequest().Get("list")
	if tag != "" {
		s = s.Set("If-None-Match", tag)
	}
	req, err := s.Request()
	if err != nil {
		return nil, "", errors.Wrap(err, "list request")
	}
	l = new(List)
	resp, err := s.Client(c.httpClient()).Do(req.WithContext(ctx), l, nil)
	if err != nil {
		return nil, "", errors.Wrapf(ErrNoPlatformResponse, "list: %v", err)
	}
	if resp.StatusCode == http.StatusNotModified && tag != "" {
		return nil, tag, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", errors.Wrapf(ErrNoPlatformResponse, "list: status %d", resp.StatusCode)
	}
	// An empty body decodes to the zero value, which must not be taken for an empty list.
	if l.Time.IsZero() {
		return nil, "", errors.Wrap(ErrNoPlatformResponse, "list: field time is missing")
	}
	return l, resp.Header.Get("ETag"), nil
}

func (c *Client) newRequest() *sling.Sling { return sling.New().Base(c.BaseURL + "/") }

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// readValue returns the bundle and the revision in resp.
func readValue(resp *http.Response) (*ConfigValue, error) {
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrNoPlatformResponse, "config: %v", err)
	}
	if len(text) > MaxValueBytes {
		return nil, errors.Wrapf(ErrNoPlatformResponse, "config: value exceeds %d bytes", MaxValueBytes)
	}
	rev, err := strconv.ParseUint(resp.Header.Get("Revision"), 10, 64)
	if err != nil {
		return nil, errors.Wrapf(ErrNoPlatformResponse, "config: invalid Revision header: %v", err)
	}
	return &ConfigValue{Revision: rev, Text: text}, nil
}
