package spreader

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// HandleMessage processes a control message from another instance. It records the
// version that the message or its heartbeat announces, and answers a Pull with
// reply. It ignores other messages.
func (s *Spreader) HandleMessage(from connector.Hello, m *messenger.Control, reply func(*messenger.Control) error) {
	s.initOnce.Do(s.init)
	switch {
	case m.GetVersion() != nil:
		s.recordAnnouncement(from, parseVersion(m.GetVersion()))
	case m.GetHeartbeat().GetVersion() != nil:
		s.recordAnnouncement(from, parseVersion(m.GetHeartbeat().GetVersion()))
	case m.GetPull() != nil:
		s.answerPull(m.GetPull(), reply)
	}
}

// recordAnnouncement records that an instance announced v, and wakes Run if v is
// higher than the version in force and than the peer's last announcement.
func (s *Spreader) recordAnnouncement(from connector.Hello, v bundler.Version) {
	s.lastAnnouncement.Store(time.Now().UnixNano())
	own, _ := s.CurrentBundle()
	if v.Compare(own) <= 0 || !from.PeerAddr.IsValid() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.announcements[from.PeerAddr]
	if a != nil && a.version.Compare(v) >= 0 || s.refusedVersions[v] || a == nil && len(s.announcements) >= maxAnnouncements {
		return
	}
	s.announcements[from.PeerAddr] = &announcement{peer: from.PeerAddr, name: from.Name, version: v}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// answerPull sends the manifest, or the sections whose sums p names. It sends
// Sections without texts if it answers too many pulls already; the same answer
// results if the bundle in force has none of the sections.
func (s *Spreader) answerPull(p *messenger.Pull, reply func(*messenger.Control) error) {
	out := &messenger.Control{Kind: &messenger.Control_Sections{Sections: new(messenger.Sections)}}
	select {
	case s.answerSlots <- struct{}{}:
		out = s.pullReply(p)
		defer func() { <-s.answerSlots }()
	default:
	}
	if err := reply(out); err != nil {
		log.Debug().Err(err).Msg("fleet: answering a pull failed")
	}
}

// pullReply returns the manifest of the bundle in force if p names no sums, and
// otherwise the sections with these sums.
func (s *Spreader) pullReply(p *messenger.Pull) *messenger.Control {
	v, sections := s.CurrentBundle()
	sums := s.Sections.ComputeSums(sections)
	if len(p.GetSums()) == 0 {
		m := &messenger.Manifest{Version: versionMessage(v), Sums: sums}
		return &messenger.Control{Kind: &messenger.Control_Manifest{Manifest: m}}
	}
	wanted := make(map[uint64]bool, len(p.GetSums()))
	for _, sum := range p.GetSums() {
		wanted[sum] = true
	}
	out := &messenger.Sections{Version: versionMessage(v)}
	for i, sum := range sums {
		if wanted[sum] {
			out.Texts = append(out.Texts, sections[i])
			delete(wanted, sum)
		}
	}
	return &messenger.Control{Kind: &messenger.Control_Sections{Sections: out}}
}

// pullFrom fetches the bundle of a peer and offers it to BundleSink if its
// version is higher than the one in force. It also returns nil if the version is
// not higher, or if BundleSink refused the bundle, whose version is then not
// pulled again.
func (s *Spreader) pullFrom(ctx context.Context, peer netip.AddrPort, name string) error {
	select {
	case s.pullSlot <- struct{}{}:
		defer func() { <-s.pullSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	s.pullsStarted.Add(1)
	v, text, err := s.fetchBundle(ctx, peer)
	if err != nil {
		s.pullsFailed.Add(1)
		if errors.Is(err, ErrSumMismatch) {
			s.Audit.RecordChange(auditor.Change{
				Component: "config", Subject: "version", Cause: err.Error() + " from instance " + name, Before: "pulled", After: "dropped",
			})
		}
		return errors.WithMessagef(err, "pull from instance %q", name)
	}
	if text == nil {
		return nil
	}
	changed, err := s.BundleSink.OfferBundle(text, "instance "+name)
	if err != nil { // BundleSink records the reason in the audit trail.
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.refusedVersions) >= maxRefusedVersions {
			clear(s.refusedVersions)
		}
		s.refusedVersions[v] = true
		return nil
	}
	if changed {
		s.AnnounceVersion()
	}
	return nil
}

// fetchBundle fetches the bundle of a peer and returns its version and text. The
// text is nil if the version is not higher than the one in force or was refused.
func (s *Spreader) fetchBundle(ctx context.Context, peer netip.AddrPort) (bundler.Version, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.PullTimeout)
	defer cancel()
	conn, err := s.StreamOpener.OpenStream(ctx, peer, connector.ControlStream)
	if err != nil {
		return bundler.Version{}, nil, err
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	r := bufio.NewReader(conn)
	sendPull := func(p *messenger.Pull) (*messenger.Control, error) {
		if err := messenger.WriteMessage(conn, &messenger.Control{Kind: &messenger.Control_Pull{Pull: p}}); err != nil {
			return nil, err
		}
		c := new(messenger.Control)
		return c, messenger.ReadMessage(r, c)
	}
	c, err := sendPull(new(messenger.Pull))
	if err != nil {
		return bundler.Version{}, nil, err
	}
	m := c.GetManifest()
	v := parseVersion(m.GetVersion())
	switch {
	case m == nil:
		return v, nil, ErrPeerBusy
	case v == bundler.Version{}:
		return v, nil, ErrNoBundle
	}
	own, have := s.CurrentBundle()
	if v.Compare(own) <= 0 || s.isRefused(v) {
		return v, nil, nil
	}
	var received [][]byte
	if missing := s.Sections.FindMissing(m.GetSums(), have); len(missing) > 0 {
		if c, err = sendPull(&messenger.Pull{Version: versionMessage(v), Sums: missing}); err != nil {
			return v, nil, err
		}
		if received = c.GetSections().GetTexts(); len(received) == 0 {
			return v, nil, ErrPeerBusy
		}
	}
	text, err := s.assembleBundle(v, m.GetSums(), have, received)
	return v, text, err
}

// assembleBundle returns the text of the bundle of version v, whose sections have
// the given sums, and checks the sum of the whole text.
func (s *Spreader) assembleBundle(v bundler.Version, sums []uint64, have, received [][]byte) ([]byte, error) {
	for _, t := range received {
		s.sectionsReceived.Add(1)
		s.bytesReceived.Add(uint64(len(t)))
	}
	text, err := s.Sections.AssembleBundle(sums, have, received)
	if err != nil {
		return nil, err
	}
	if sum := xxhash.Sum64(text); sum != v.Sum {
		return nil, errors.Wrapf(ErrSumMismatch, "version %d: got sum %016x, want %016x", v.Number, sum, v.Sum)
	}
	return text, nil
}

func (s *Spreader) isRefused(v bundler.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedVersions[v]
}

// maxPeerAnswers is the number of answers after which PullFromPeers returns.
const maxPeerAnswers = 3

// PullFromPeers pulls the bundles of other members in random order and returns
// how many answered. It returns after 3 answers, when all members have answered,
// or after wait. An answer that the member has no bundle counts too. Members that
// did not answer are tried again. Without other members PullFromPeers returns at
// once, so the list of members must be read before.
func (s *Spreader) PullFromPeers(ctx context.Context, wait time.Duration) int {
	s.initOnce.Do(s.init)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answered := make(map[string]bool)
	for {
		members := s.membersToAsk(answered)
		if len(members) == 0 || len(answered) >= maxPeerAnswers {
			return len(answered)
		}
		for _, m := range members {
			err := s.pullFrom(ctx, m.PeerAddr, m.Name)
			if err == nil || errors.Is(err, ErrNoBundle) {
				answered[m.Name] = true
			}
			if len(answered) >= maxPeerAnswers {
				break
			}
		}
		select {
		case <-ctx.Done():
			return len(answered)
		case <-time.After(s.InitialBackoff/2 + rand.N(s.InitialBackoff)):
		}
	}
}

// membersToAsk returns, in random order, the other members that are not gone and
// have not answered.
func (s *Spreader) membersToAsk(answered map[string]bool) []registrar.Member {
	var out []registrar.Member
	for _, m := range s.Fleet.Members() {
		if !m.Self && m.State != registrar.Gone && !answered[m.Name] {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
