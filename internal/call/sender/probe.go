package sender

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/translator"
)

// ProbeServer requests the load endpoint of a backend server at path and returns
// the metadata of the response. It uses a connection of the pool for calls, whose
// size over all instances is connections.
func (s *Sender) ProbeServer(ctx context.Context, server netip.AddrPort, path string, connections int) (translator.ResponseMetadata, error) {
	pool := s.serverPool(server)
	conn, err := pool.acquireConn(ctx, s.transport, maxIdleTime, s.connectionLimit(connections), "")
	if err != nil {
		return translator.ResponseMetadata{}, errors.Wrap(err, "probe")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.String()+path, nil)
	if err != nil {
		_ = conn.Close()
		return translator.ResponseMetadata{}, errors.Wrap(err, "probe")
	}
	conn.tracked.beginExchange()
	resp, err := conn.RoundTrip(req)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseHeaderBytes))
		_ = resp.Body.Close()
	}
	if err != nil {
		_ = conn.Close()
		return translator.ResponseMetadata{}, errors.Wrap(err, "probe")
	}
	metadata := s.dialect().ParseResponse(resp.StatusCode, resp.Header)
	if metadata.RequestID != "" {
		conn.closeAsForeign()
		return translator.ResponseMetadata{}, errors.New("probe: late response to a call")
	}
	if metadata.IsRefusal() {
		conn.afterRefusal(&metadata)()
	} else {
		conn.tracked.endExchange()
	}
	return metadata, nil
}
