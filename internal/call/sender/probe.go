package sender

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// ProbeServer requests the load endpoint of a backend server at path and returns
// the metadata of the response. It uses a connection of the pool for calls, whose
// size over all instances is connections. The error wraps ErrWithheld, and nothing is
// sent, while the server with the given lifetime is withheld. If the metadata name another
// server, it has the address, and all else in them is about it.
func (s *Sender) ProbeServer(ctx context.Context, server netip.AddrPort, lifetime withholder.Lifetime, path string, connections int) (translator.ResponseMetadata, error) {
	pool := s.serverPool(server)
	conn, err := pool.acquireConn(ctx, s.transport, connRequest{
		lifetime: lifetime, awaitRecords: s.AwaitRecords, maxIdle: maxIdleTime, limit: s.connectionLimit(connections), withholder: s.Withholder,
	})
	if err != nil {
		return translator.ResponseMetadata{}, errors.Wrap(err, "probe")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.String()+path, nil)
	if err != nil {
		_ = conn.Close()
		return translator.ResponseMetadata{}, errors.Wrap(err, "probe")
	}
	conn.tracked.beginExchange()
	resp, err := roundTrip(conn, req)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseHeaderBytes))
		_ = resp.Body.Close()
	}
	if err != nil {
		_ = conn.Close()
		return translator.ResponseMetadata{}, errors.Wrap(err, "probe")
	}
	metadata := s.dialect().ParseResponse(resp.StatusCode, resp.Header)
	if metadata.ServerName != "" && lifetime.Name != "" && metadata.ServerName != lifetime.Name {
		_ = conn.Close() // It leads to another process than that of its lifetime.
		return metadata, nil
	}
	late := metadata.RequestID != ""
	source := withholder.FromProbe
	if late {
		source = withholder.FromLate
	}
	s.recordFrom(conn.lifetime, &metadata, source)
	if late {
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
