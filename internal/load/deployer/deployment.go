package deployer

import (
	"net/http"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/standin/provisioner"
)

// Deployment describes services and their stand-in backend servers.
type Deployment struct {
	Name             string
	ReadService      string                    // Service that gets the urgent idempotent reads.
	BookingService   string                    // Service that gets the non-idempotent bookings.
	ServiceTimeScale float64                   // Factor on all mean service times.
	Groups           []provisioner.ServerGroup // One group of backend servers for each service.
}

// Group returns the group of the named service, or nil if there is none.
func (d *Deployment) Group(service string) *provisioner.ServerGroup {
	for i := range d.Groups {
		if d.Groups[i].Service.Name == service {
			return &d.Groups[i]
		}
	}
	return nil
}

// Slots returns the number of slots of all backend servers of a service.
func (d *Deployment) Slots(service string) int {
	g := d.Group(service)
	return g.ServerCount * g.Service.Slots
}

// Capacity returns the rate, in calls per second with the given mean service
// time, that keeps all slots of a service busy.
func (d *Deployment) Capacity(service string, mean time.Duration) float64 {
	return float64(d.Slots(service)) / mean.Seconds()
}

// Mean service times of the calls in a deployment with ServiceTimeScale 1, and the
// shape parameter of their lognormal distribution.
const (
	MeanReadTime     = 20 * time.Millisecond
	MeanBookingTime  = 50 * time.Millisecond
	MeanBulkTime     = 100 * time.Millisecond
	ServiceTimeSigma = 1.0
)

// NewNamedDeployment returns the deployment association or fondantier, or nil for
// any other name. Fondantier doubles the service times: to flood 15 servers of 6
// slots with reads of 20 ms would take more calls per second than one machine can
// send.
func NewNamedDeployment(name string) *Deployment {
	switch name {
	case "association":
		return &Deployment{Name: name, ReadService: "guidance", BookingService: "deposits", ServiceTimeScale: 1, Groups: []provisioner.ServerGroup{
			newGroup("guidance", 20, 2, time.Millisecond), newGroup("inspections", 10, 2, time.Millisecond), newGroup("deposits", 10, 2, time.Millisecond),
		}}
	case "fondantier":
		return &Deployment{Name: name, ReadService: "prices", BookingService: "purchasing", ServiceTimeScale: 2, Groups: []provisioner.ServerGroup{
			newGroup("prices", 15, 6, 5*time.Millisecond), newGroup("purchasing", 10, 6, 5*time.Millisecond), newGroup("stock", 5, 6, 5*time.Millisecond),
		}}
	}
	return nil
}

// newGroup returns count backend servers of a service with the given slots each.
// A probe costs a backend server cost.
func newGroup(name string, count, slots int, cost time.Duration) provisioner.ServerGroup {
	return provisioner.ServerGroup{ServerCount: count, Service: parser.Service{
		Name: name, Slots: slots, Connections: 250, Deadline: parser.Duration(5 * time.Second),
		Floors: parser.Floors{Normal: 0.10, Patient: 0.05}, Queue: parser.Queue{Calls: 64},
		Probe: parser.Probe{Path: "/load", Budget: parser.Duration(10 * time.Millisecond), Cost: parser.Duration(cost)},
		Routes: []parser.Route{
			{Path: "/lookup", Methods: []string{http.MethodGet}, Rank: parser.Urgent, Idempotent: true},
			{Path: "/book", Methods: []string{http.MethodPost}, Rank: parser.Normal},
			{Path: "/bulk", Methods: []string{http.MethodPost}, Rank: parser.Patient},
		},
	}}
}
