package distributor

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
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
func (d *Distributor) HandleMessage(from connector.Hello, m *messenger.Control, reply func(*messenger.Control) error) {
	d.initOnce.Do(d.init)
	switch {
	case m.GetVersion() != nil:
		d.recordAnnouncement(from, parseVersion(m.GetVersion()))
	case m.GetHeartbeat().GetVersion() != nil:
		d.recordAnnouncement(from, parseVersion(m.GetHeartbeat().GetVersion()))
	case m.GetPull() != nil:
		d.answerPull(m.GetPull(), reply)
	}
}

// recordAnnouncement records that an instance announced v, and wakes Run if v is
// higher than the version in force and than the peer's last announcement.
func (d *Distributor) recordAnnouncement(from connector.Hello, v bundler.Version) {
	d.lastAnnouncement.Store(time.Now().UnixNano())
	own, _ := d.CurrentBundle()
	if v.Compare(own) <= 0 || !from.PeerAddr.IsValid() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.announcements[from.PeerAddr]
	if a != nil && a.version.Compare(v) >= 0 || d.refusedVersions[v] || a == nil && len(d.announcements) >= maxAnnouncements {
		return
	}
	d.announcements[from.PeerAddr] = &announcement{peer: from.PeerAddr, name: from.Name, version: v}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// answerPull sends the manifest, or the sections whose sums p names. It sends
// Sections without texts if it answers too many pulls already; the same answer
// results if the bundle in force has none of the sections.
func (d *Distributor) answerPull(p *messenger.Pull, reply func(*messenger.Control) error) {
	out := &messenger.Control{Kind: &messenger.Control_Sections{Sections: new(messenger.Sections)}}
	select {
	case d.answerSlots <- struct{}{}:
		out = d.pullReply(p)
		defer func() { <-d.answerSlots }()
	default:
	}
	if err := reply(out); err != nil {
		log.Debug().Err(err).Msg("fleet: answering a pull failed")
	}
}

// pullReply returns the manifest of the bundle in force if p names no sums, and
// otherwise the sections with these sums.
func (d *Distributor) pullReply(p *messenger.Pull) *messenger.Control {
	v, sections := d.CurrentBundle()
	sums := d.Sections.ComputeSums(sections)
	if len(p.GetSums()) == 0 {
		m := &messenger.Manifest{Version: versionMessage(v), Sums: sums}
		return &messenger.Control{Kind: &messenger.Control_Manifest{Manifest: m}}
	}
	wanted := make(map[uint64]bool, len(p.GetSums()))
	for _, sum := range p.GetSums() {
		wanted[sum] = true
	}
	out, size := &messenger.Sections{Version: versionMessage(v)}, 0
	for i, sum := range sums {
		if wanted[sum] {
			out.Texts, size = append(out.Texts, sections[i]), size+len(sections[i])
			delete(wanted, sum)
		}
	}
	if p.GetDeflated() && size >= messenger.DeflateFrom {
		if deflated, err := messenger.Deflate(out, messenger.MaxMessageBytes); err == nil {
			out = &messenger.Sections{Deflated: deflated}
		}
	}
	return &messenger.Control{Kind: &messenger.Control_Sections{Sections: out}}
}

// pullFrom fetches the bundle of a peer and offers it to BundleSink if its
// version is higher than the one in force. It also returns nil if the version is
// not higher, or if BundleSink refused the bundle, whose version is then not
// pulled again.
func (d *Distributor) pullFrom(ctx context.Context, peer netip.AddrPort, name string) error {
	select {
	case d.pullSlot <- struct{}{}:
		defer func() { <-d.pullSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	d.pullsStarted.Add(1)
	v, text, err := d.fetchBundle(ctx, peer)
	if err != nil {
		d.pullsFailed.Add(1)
		if errors.Is(err, ErrSumMismatch) {
			d.Audit.RecordChange(auditor.Change{
				Component: "config", Subject: "version", Cause: err.Error() + " from instance " + name, Before: "pulled", After: "dropped",
			})
		}
		return errors.WithMessagef(err, "pull from instance %q", name)
	}
	if text == nil {
		return nil
	}
	changed, err := d.BundleSink.OfferBundle(text, "instance "+name)
	if err != nil { // BundleSink records the reason in the audit trail.
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.refusedVersions) >= maxRefusedVersions {
			clear(d.refusedVersions)
		}
		d.refusedVersions[v] = true
		return nil
	}
	if changed {
		d.AnnounceVersion()
	}
	return nil
}

// maxPullSums is the number of sections that one message asks for. Their sums take 32 KiB,
// half of what an instance accepts unasked, and the lengths of the sections in the answer less.
const maxPullSums = 4096

// puller pulls the bundle of one peer over a stream.
type puller struct {
	conn net.Conn
	in   *bufio.Reader
}

// send sends p and returns the answer.
func (u *puller) send(p *messenger.Pull) (*messenger.Control, error) {
	if err := messenger.WriteMessage(u.conn, &messenger.Control{Kind: &messenger.Control_Pull{Pull: p}}); err != nil {
		return nil, err
	}
	c := new(messenger.Control)
	return c, messenger.ReadMessage(u.in, c)
}

// fetchSections returns the sections of version v with the given sums.
func (u *puller) fetchSections(v bundler.Version, sums []uint64) (sections [][]byte, err error) {
	for part := range slices.Chunk(sums, maxPullSums) {
		c, err := u.send(&messenger.Pull{Version: versionMessage(v), Sums: part, Deflated: true})
		if err != nil {
			return nil, err
		}
		answer := c.GetSections()
		if deflated := answer.GetDeflated(); len(deflated) > 0 {
			answer = new(messenger.Sections)
			if err := messenger.Inflate(deflated, answer, messenger.MaxMessageBytes); err != nil {
				return nil, errors.WithMessage(err, "sections")
			}
		}
		texts := answer.GetTexts()
		if len(texts) == 0 {
			return nil, ErrPeerBusy
		}
		sections = append(sections, texts...)
	}
	return sections, nil
}

// fetchBundle fetches the bundle of a peer and returns its version and text. The
// text is nil if the version is not higher than the one in force or was refused.
func (d *Distributor) fetchBundle(ctx context.Context, peer netip.AddrPort) (bundler.Version, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, d.PullTimeout)
	defer cancel()
	conn, err := d.StreamOpener.OpenStream(ctx, peer, connector.ControlStream)
	if err != nil {
		return bundler.Version{}, nil, err
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	u := &puller{conn: conn, in: bufio.NewReader(conn)}
	c, err := u.send(new(messenger.Pull))
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
	own, have := d.CurrentBundle()
	if v.Compare(own) <= 0 || d.isRefused(v) {
		return v, nil, nil
	}
	received, err := u.fetchSections(v, d.Sections.FindMissing(m.GetSums(), have))
	if err != nil {
		return v, nil, err
	}
	text, err := d.assembleBundle(v, m.GetSums(), have, received)
	return v, text, err
}

// assembleBundle returns the text of the bundle of version v, whose sections have
// the given sums, and checks the sum of the whole text.
func (d *Distributor) assembleBundle(v bundler.Version, sums []uint64, have, received [][]byte) ([]byte, error) {
	for _, t := range received {
		d.sectionsReceived.Add(1)
		d.bytesReceived.Add(uint64(len(t)))
	}
	text, err := d.Sections.AssembleBundle(sums, have, received)
	if err != nil {
		return nil, err
	}
	if sum := xxhash.Sum64(text); sum != v.Sum {
		return nil, errors.Wrapf(ErrSumMismatch, "version %d: got sum %016x, want %016x", v.Number, sum, v.Sum)
	}
	return text, nil
}

func (d *Distributor) isRefused(v bundler.Version) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusedVersions[v]
}

// maxPeerAnswers is the number of answers after which PullFromPeers returns.
const maxPeerAnswers = 3

// PullFromPeers pulls the bundles of other members in random order and returns
// how many answered. It returns after 3 answers, when all members have answered,
// or after wait. An answer that the member has no bundle counts too. Members that
// did not answer are tried again. Without other members PullFromPeers returns at
// once, so the list of members must be read before.
func (d *Distributor) PullFromPeers(ctx context.Context, wait time.Duration) int {
	d.initOnce.Do(d.init)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answered := make(map[string]bool)
	for {
		members := d.membersToAsk(answered)
		if len(members) == 0 || len(answered) >= maxPeerAnswers {
			return len(answered)
		}
		for _, m := range members {
			err := d.pullFrom(ctx, m.PeerAddr, m.Name)
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
		case <-time.After(d.InitialBackoff/2 + rand.N(d.InitialBackoff)):
		}
	}
}

// membersToAsk returns, in random order, the other members that are not gone and
// have not answered.
func (d *Distributor) membersToAsk(answered map[string]bool) []registrar.Member {
	var out []registrar.Member
	for _, m := range d.Fleet.Members() {
		if !m.Self && m.State != registrar.Gone && !answered[m.Name] {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
