package deduper

import (
	"cmp"
	"container/list"
	"net/http"
	"sync"
	"time"
)

// Limits of a Store. The first two apply when its fields are 0.
const (
	defaultMaxRecords = 100_000
	defaultMaxBytes   = 64 << 20
	maxResponseBytes  = 64 << 10 // A larger response is not kept.
)

// Response is the kept response of a call.
type Response struct {
	Status  int
	Header  http.Header // Headers sent before the body.
	Trailer http.Header // Headers and trailers as they were after the body.
	Body    []byte
}

// Record holds what an instance knows about the call with one idempotency key.
type Record struct {
	Fingerprint uint64        // Result of callFingerprint.
	Done        chan struct{} // Closed when the first attempt has ended.
	key         string
	state       State
	response    Response
	reserved    int       // Bytes reserved for the response.
	expiry      time.Time // End of the retention; set when the first attempt has ended.
}

// Store holds records, with limits on their number and on the bytes of their
// responses. Its exported fields are set before use.
type Store struct {
	MaxRecords int           // Largest number of records; 0 means 100,000.
	MaxBytes   int           // Bound in bytes of all responses; 0 means 64 MiB.
	Retention  time.Duration // How long a record is kept after its first attempt ended.

	mu       sync.Mutex
	records  map[string]*Record
	ended    list.List // Records whose first attempt ended, in that order.
	reserved int       // Sum of the bytes reserved by all records.
}

// BeginAttempt calls decide with the state of the record for key and whether the
// store is full, while no other attempt can change them. When decide returns
// RunHere, it adds a record in the state Running. An attempt whose fingerprint
// differs from that of the record belongs to another call and is rejected.
func (s *Store) BeginAttempt(key string, fingerprint uint64, now time.Time, decide func(State, bool) Decision) (Decision, *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	state := NoRecord
	rec := s.records[key]
	if rec != nil {
		state = rec.state
	}
	if rec != nil && rec.Fingerprint != fingerprint {
		// The idempotency key belongs to another call; this one did not run.
		return Decision{Verdict: ReportRejected, Reason: "identity"}, nil
	}
	full := len(s.records) >= s.maxRecords() || s.reserved >= s.maxBytes()
	d := decide(state, full)
	if d.Verdict == RunHere {
		if s.records == nil {
			s.records = make(map[string]*Record)
		}
		rec = &Record{Fingerprint: fingerprint, Done: make(chan struct{}), key: key, state: Running}
		s.records[key] = rec
	}
	return d, rec
}

// ReserveBytes reserves n more bytes for the response of rec; it returns false
// when that would exceed a limit.
func (s *Store) ReserveBytes(rec *Record, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec.reserved+n > maxResponseBytes || s.reserved+n > s.maxBytes() {
		return false
	}
	rec.reserved += n
	s.reserved += n
	return true
}

// Remove removes rec and closes rec.Done. It must be called only if the call of rec
// did not run.
func (s *Store) Remove(rec *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved -= rec.reserved
	delete(s.records, rec.key)
	close(rec.Done)
}

// EndAttempt records that the first attempt of rec ended with response. When
// response is nil, rec only records that the call may have run.
func (s *Store) EndAttempt(rec *Record, response *Response, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.state = ResponseLost
	if response != nil {
		rec.state, rec.response = ResponseKept, *response
	} else {
		s.reserved -= rec.reserved
		rec.reserved = 0
	}
	rec.expiry = now.Add(s.Retention)
	s.ended.PushBack(rec)
	close(rec.Done)
}

// Response returns the kept response of rec, if there is one. It is called after
// Done is closed.
func (s *Store) Response(rec *Record) (Response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rec.response, rec.state == ResponseKept
}

// removeExpired removes the records whose retention has passed. s.mu must be
// held.
func (s *Store) removeExpired(now time.Time) {
	for e := s.ended.Front(); e != nil; e = s.ended.Front() {
		rec := e.Value.(*Record)
		if !now.After(rec.expiry) {
			return
		}
		s.ended.Remove(e)
		s.reserved -= rec.reserved
		delete(s.records, rec.key)
	}
}

func (s *Store) maxRecords() int { return cmp.Or(s.MaxRecords, defaultMaxRecords) }

func (s *Store) maxBytes() int { return cmp.Or(s.MaxBytes, defaultMaxBytes) }
