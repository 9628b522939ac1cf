package launcher

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Launcher starts instances of one binary; Dir is set before Build.
type Launcher struct {
	Dir    string // Folder for the binary, settings files and logs.
	Race   bool   // Race builds with the race detector.
	binary string
}

// Build compiles the binary; it must be called inside the module.
func (l *Launcher) Build() error {
	l.binary = filepath.Join(l.Dir, "sardinelever")
	args := []string{"build", "-o", l.binary}
	if l.Race {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "sardinelever.example/sardinelever/cmd/sardinelever")...).CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}

// Binary returns the path of the compiled binary.
func (l *Launcher) Binary() string { return l.binary }

// Instance is a running process.
type Instance struct {
	Settings *parser.Settings
	Log      string // Path of its log.
	cmd      *exec.Cmd
	done     chan struct{}
	err      error
}

// Start runs an instance with s and returns at once; listeners of s with port
// 0 get a free port first.
func (l *Launcher) Start(s *parser.Settings) (*Instance, error) {
	if err := Reserve(s); err != nil {
		return nil, err
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	file := filepath.Join(l.Dir, s.Name+".toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	i := &Instance{Settings: s, Log: filepath.Join(l.Dir, s.Name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(i.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	i.cmd = exec.Command(l.binary, "run", file)
	i.cmd.Stdout, i.cmd.Stderr = out, out
	if err := i.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	go i.run(out)
	return i, nil
}

// Reserve gives the listeners of s with port 0 a free port.
func Reserve(s *parser.Settings) error {
	for _, addr := range []*netip.AddrPort{&s.Callers, &s.Peers, &s.Operator} {
		if err := reserve(addr); err != nil {
			return err
		}
	}
	return nil
}

// Ports are taken below the range from which the system takes the ports of
// outgoing connections, as one of those could take a port before its listener
// opens. Each process takes them in turn from a place of its own, so that none
// is given twice before its listener opens.
const firstPort, lastPort = 10000, 32000

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(lastPort - firstPort)) }

func reserve(addr *netip.AddrPort) error {
	if addr.IsValid() && addr.Port() != 0 {
		return nil
	}
	var err error
	for range 100 {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		try := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		var l net.Listener
		if l, err = net.Listen("tcp", try.String()); err == nil {
			_ = l.Close()
			*addr = try
			return nil
		}
	}
	return errors.Wrap(err, "free port")
}

func (i *Instance) run(out *os.File) {
	i.err = i.cmd.Wait()
	_ = out.Close()
	close(i.done)
}

// Done is closed when the process has ended.
func (i *Instance) Done() <-chan struct{} { return i.done }

// Err returns how the process ended; it is valid after Done is closed.
func (i *Instance) Err() error { return i.err }

// Pid returns the process identifier.
func (i *Instance) Pid() int { return i.cmd.Process.Pid }

// Signal sends sig to the process: SIGTERM stops, SIGKILL kills, SIGSTOP pauses, SIGCONT resumes.
func (i *Instance) Signal(sig syscall.Signal) error {
	return errors.Wrapf(i.cmd.Process.Signal(sig), "signal %v", sig)
}

// URL returns the base URL of the callers' listener.
func (i *Instance) URL() string { return "http://" + i.Settings.Callers.String() }

// Await waits until the instance reports itself ready or the timeout passes.
func (i *Instance) Await(timeout time.Duration) error {
	url := fmt.Sprintf("http://%s/ready", i.Settings.Operator)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("instance %s is not ready after %s; see %s", i.Settings.Name, timeout, i.Log)
}
