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

// Launcher builds the binary and starts instances of it. Dir is set before
// BuildBinary.
type Launcher struct {
	Dir          string // Directory of the binary, the settings files and the logs.
	RaceDetector bool   // Builds with the race detector.
	binaryPath   string
}

// BuildBinary compiles the binary. The working directory must be inside the module.
func (l *Launcher) BuildBinary() error {
	l.binaryPath = filepath.Join(l.Dir, "sardinelever")
	args := []string{"build", "-o", l.binaryPath}
	if l.RaceDetector {
		args = append(args, "-race")
	}
	output, err := exec.Command("go", append(args, "sardinelever.example/sardinelever/cmd/sardinelever")...).CombinedOutput()
	return errors.Wrapf(err, "go build: %s", output)
}

// BinaryPath returns the path of the compiled binary.
func (l *Launcher) BinaryPath() string { return l.binaryPath }

// Instance is an instance that runs in its own process.
type Instance struct {
	Settings *parser.Settings
	LogPath  string // File with the standard output and standard error of the process.
	cmd      *exec.Cmd
	exited   chan struct{}
	exitErr  error // Result of Wait; set before exited is closed.
}

// StartInstance starts an instance with settings and does not wait until it is ready.
// Listeners without an address or with port 0 get a free loopback port first.
func (l *Launcher) StartInstance(settings *parser.Settings) (*Instance, error) {
	if err := ReservePorts(settings); err != nil {
		return nil, err
	}
	text, err := toml.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return l.StartInstanceText(settings, text)
}

// StartInstanceText is StartInstance with text as the settings file. Of settings, it uses the
// name, and the Instance the listeners.
func (l *Launcher) StartInstanceText(settings *parser.Settings, text []byte) (*Instance, error) {
	settingsPath := filepath.Join(l.Dir, settings.Name+".toml")
	if err := os.WriteFile(settingsPath, text, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	instance := &Instance{Settings: settings, LogPath: filepath.Join(l.Dir, settings.Name+".log"), exited: make(chan struct{})}
	logFile, err := os.OpenFile(instance.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	instance.cmd = exec.Command(l.binaryPath, "run", settingsPath)
	instance.cmd.Stdout, instance.cmd.Stderr = logFile, logFile
	if err := instance.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	go instance.waitForExit(logFile)
	return instance, nil
}

// ReservePorts gives each listener in settings that has no address or port 0 a free
// loopback port.
func ReservePorts(settings *parser.Settings) error {
	for _, addr := range []*netip.AddrPort{&settings.Callers, &settings.Peers, &settings.Operator} {
		if err := reservePort(addr); err != nil {
			return err
		}
	}
	return nil
}

// Ports from firstPort up to, not including, portLimit are given to listeners. They
// are below the system's range of ephemeral ports, because an outgoing connection
// could otherwise take a port before its listener opens. Each process starts at a
// random port and takes the following ones in turn, so that no port is given twice
// before its listener opens.
const firstPort, portLimit = 10000, 32000

var lastPortOffset atomic.Uint32

func init() { lastPortOffset.Store(rand.Uint32N(portLimit - firstPort)) }

func reservePort(addr *netip.AddrPort) error {
	if addr.IsValid() && addr.Port() != 0 {
		return nil
	}
	var err error
	for range 100 {
		port := firstPort + lastPortOffset.Add(1)%(portLimit-firstPort)
		candidate := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		var listener net.Listener
		if listener, err = net.Listen("tcp", candidate.String()); err == nil {
			_ = listener.Close()
			*addr = candidate
			return nil
		}
	}
	return errors.Wrap(err, "no free port found")
}

func (i *Instance) waitForExit(logFile *os.File) {
	i.exitErr = i.cmd.Wait()
	_ = logFile.Close()
	close(i.exited)
}

// Done returns a channel that is closed when the process has ended.
func (i *Instance) Done() <-chan struct{} { return i.exited }

// Err returns nil when the process ended with exit code 0. It is valid after the
// channel of Done is closed.
func (i *Instance) Err() error { return i.exitErr }

// Pid returns the process ID.
func (i *Instance) Pid() int { return i.cmd.Process.Pid }

// Signal sends sig to the process. SIGTERM starts an orderly shutdown, SIGKILL
// kills, SIGSTOP pauses and SIGCONT resumes the process.
func (i *Instance) Signal(sig syscall.Signal) error {
	return errors.Wrapf(i.cmd.Process.Signal(sig), "signal %v", sig)
}

// CallersURL returns the base URL of the listener for callers.
func (i *Instance) CallersURL() string { return "http://" + i.Settings.Callers.String() }

// WaitReady waits until the instance reports that it is ready. It returns an error
// when that takes longer than timeout.
func (i *Instance) WaitReady(timeout time.Duration) error {
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
	return errors.Errorf("instance %s is not ready after %s; see %s", i.Settings.Name, timeout, i.LogPath)
}
