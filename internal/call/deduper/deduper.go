package deduper

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/fleet/connector"
)

// Fleet provides the places of idempotency keys and the connections to other
// instances.
type Fleet interface {
	// Place returns the name of the instance that is the place of key, and the
	// times of two reads of the list by this instance: the first of the
	// uninterrupted series that gives this place, and the last. The name is
	// empty before the first read. A gap of more than 10 s between two reads
	// starts a new series.
	Place(key string) (name string, since, read time.Time)
	// PeerAddr returns the address at which an instance accepts streams of other
	// instances; it returns false when the instance is not known.
	PeerAddr(name string) (netip.AddrPort, bool)
	// OpenStream opens a stream to another instance.
	OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error)
}

// Deduper executes each call with an idempotency key at most once in the fleet.
// Its exported fields are set before the first call. Run serves the calls that
// other instances forward to this one.
type Deduper struct {
	Name        string
	PeerAddr    netip.AddrPort
	Incarnation uint64
	Fleet       Fleet
	Rules       Rules
	MaxRecords  int // Largest number of records; 0 means 100,000.
	MaxBytes    int // Bound in bytes of all kept responses; 0 means 64 MiB.
	// Handler serves the calls that other instances forwarded; it calls
	// HandleCall with forwarded set.
	Handler   http.Handler
	Responder *responder.Responder

	setupOnce    sync.Once
	startTime    time.Time
	lastSequence atomic.Uint64
	store        Store
	transport    *http.Transport
	listener     listener
}

func (d *Deduper) setup() {
	d.startTime = time.Now()
	d.Rules = d.Rules.withDefaults()
	d.store.MaxRecords, d.store.MaxBytes, d.store.Retention = d.MaxRecords, d.MaxBytes, d.Rules.retention()
	d.transport = &http.Transport{DialContext: d.dialPeer, DisableCompression: true}
	d.listener.setup(d.PeerAddr)
}

// Issue returns a new idempotency key, whose call only this incarnation may
// execute.
func (d *Deduper) Issue() string {
	d.setupOnce.Do(d.setup)
	for {
		last := d.lastSequence.Load()
		next := max(last+1, uint64(time.Since(d.startTime)))
		if d.lastSequence.CompareAndSwap(last, next) {
			return newIssuedKey(d.PeerAddr, d.Incarnation, next).Text
		}
	}
}

// ServeHTTP answers with a newly issued idempotency key.
func (d *Deduper) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = fmt.Fprintln(w, d.Issue())
}

// HandleCall answers the call c, which has an idempotency key: it executes the
// call with run, forwards it, repeats the response of the first attempt, or
// reports the outcome and the reason why it does none of these. run returns
// whether the call may have run; a panic in run counts as true. Once started,
// run is not cancelled when the caller hangs up, so that a repeat gets the
// response.
func (d *Deduper) HandleCall(w http.ResponseWriter, r *http.Request, c *classifier.Call, forwarded bool, run func(http.ResponseWriter, *http.Request) bool) {
	d.setupOnce.Do(d.setup)
	key := ParseIdempotencyKey(c.IdempotencyKey)
	for {
		decision, rec := d.decide(key, r, c, forwarded)
		switch decision.Verdict {
		case RunHere:
			d.runCall(w, r, rec, run)
		case ForwardCall:
			d.forwardCall(w, r, c, decision)
		case ReplayResponse:
			if response, ok := d.store.Response(rec); ok {
				response.writeTo(w)
			}
		case WaitForFirst:
			if d.waitForFirst(w, r, c, rec) {
				continue
			}
		case ReportUnknown:
			d.reportOutcome(w, sender.Unknown, decision.Reason)
		case ReportRejected:
			d.reportOutcome(w, sender.Rejected, decision.Reason)
		}
		return
	}
}

// decide decides about an attempt and, if the call is to be executed here, makes
// its record.
func (d *Deduper) decide(key IdempotencyKey, r *http.Request, c *classifier.Call, forwarded bool) (Decision, *Record) {
	v := View{
		Name: d.Name, PeerAddr: d.PeerAddr, Incarnation: d.Incarnation, LastSequence: d.lastSequence.Load(), Forwarded: forwarded,
	}
	v.Place, v.PlaceSince, v.ListRead = d.Fleet.Place(key.Text)
	// The clock is read after the place, so that a pause between the two makes
	// the list look older, never newer.
	v.Now, v.Elapsed = time.Now(), time.Since(d.startTime)
	return d.store.BeginAttempt(key.Text, callFingerprint(r, c), v.Now, func(s State, full bool) Decision {
		v.StoreFull = full
		return d.Rules.Decide(key, v, s)
	})
}

// callFingerprint returns a hash that differs between different calls to which
// callers wrongly gave the same idempotency key.
func callFingerprint(r *http.Request, c *classifier.Call) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range []string{
		c.Service.Name, r.Method, c.Path, r.URL.RawQuery, r.Header.Get("Authorization"), r.Header.Get("Content-Type"),
	} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// runCall executes the call with run and keeps its response in rec.
func (d *Deduper) runCall(w http.ResponseWriter, r *http.Request, rec *Record, run func(http.ResponseWriter, *http.Request) bool) {
	rw := &recorder{ResponseWriter: w, store: &d.store, record: rec}
	ended := false
	defer func() {
		if !ended { // run panicked to abort the caller's connection; the call may have run.
			d.store.EndAttempt(rec, nil, time.Now())
		}
	}()
	ran := run(rw, r.WithContext(context.WithoutCancel(r.Context())))
	ended = true
	if !ran {
		d.store.Remove(rec)
		return
	}
	d.store.EndAttempt(rec, rw.response(), time.Now())
}

// waitForFirst waits until the first attempt ends. When the deadline of this
// attempt passes or its caller hangs up before, it reports the outcome unknown
// and returns false.
func (d *Deduper) waitForFirst(w http.ResponseWriter, r *http.Request, c *classifier.Call, rec *Record) bool {
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	select {
	case <-rec.Done:
		return true
	case <-ctx.Done():
		d.reportOutcome(w, sender.Unknown, "deadline")
		return false
	}
}

func (d *Deduper) reportOutcome(w http.ResponseWriter, o sender.Outcome, reason string) {
	f := &sender.Failure{Outcome: o, Reason: reason}
	status := f.StatusCode()
	if o == sender.Rejected && reason == "identity" {
		status = http.StatusBadRequest
	}
	d.Responder.WriteErrorReport(w, responder.ErrorReport{Outcome: o, StatusCode: status, Reason: reason, Detail: reasonDetails[reason], RetryAfter: time.Second})
}

// reasonDetails explains each reason to the caller.
var reasonDetails = map[string]string{
	"lost":     "the first attempt ended and its answer is not kept",
	"place":    "the instances do not agree on the one that may run this identity, or it cannot be reached",
	"gone":     "the instance that issued this identity was replaced",
	"stale":    "this instance has not read the list of instances lately",
	"future":   "the time of the identity is in the future",
	"old":      "the identity is too old",
	"moved":    "another instance may have run this identity before",
	"full":     "no more identities can be remembered",
	"identity": "the identity belongs to another call or was never issued",
	"deadline": "the first attempt still runs",
}

// Run serves the calls on the streams given to ServeConn until ctx is done, and
// then returns when the calls in flight have ended.
func (d *Deduper) Run(ctx context.Context) error {
	d.setupOnce.Do(d.setup)
	s := &http.Server{Handler: d.Handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, d.listener.stop)
	defer stop()
	_ = s.Serve(&d.listener) // Ends when the listener is closed.
	return s.Shutdown(context.WithoutCancel(ctx))
}

// ServeConn serves the calls on conn, a stream of kind connector.Call from another
// instance, while Run is running; it returns when conn is closed.
func (d *Deduper) ServeConn(conn net.Conn) {
	d.setupOnce.Do(d.setup)
	d.listener.serveConn(conn)
}

const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 128 << 10 // Twice the limit for callers at the instance that forwards the call.
)
