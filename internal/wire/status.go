// Package wire defines the JSON messages that hosts exchange with each other,
// with the operators' commands and with the status page.
package wire

import (
	"encoding/json"
	"time"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// HostStatus is the status that a host reports of itself.
type HostStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// At is the wall-clock time of the status.
	At time.Time `json:"at"`
	// Revision is the configuration revision in force, 0 if there is none.
	Revision uint64 `json:"revision"`
	// InForceSince is the time from which Revision is in force.
	InForceSince time.Time `json:"since"`
	// Started is the start time of the process.
	Started time.Time `json:"started"`
	// Leaving reports whether the host is shutting down.
	Leaving bool `json:"leaving"`
	// PlatformDown reports whether the host's last watch of the platform failed.
	PlatformDown bool `json:"platformDown"`
	// Alarm is the alarm of the host, empty if there is none.
	Alarm string `json:"alarm,omitempty"`
	// Evacuated lists the data centres whose servers get no new flows from the host.
	Evacuated []string `json:"evacuated,omitempty"`
	// Flows is the number of flows that are pinned on the host.
	Flows    int             `json:"flows"`
	Members  []MemberStatus  `json:"members"`
	Services []ServiceStatus `json:"services"`
}

// StatusRequest requests the status of a host.
type StatusRequest struct {
	// Brief omits the services from the status.
	Brief bool `json:"brief"`
}

// MemberStatus is another host as the reporting host sees it.
type MemberStatus struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Health   string `json:"health"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
}

// ServiceStatus is the status of a service at one host.
type ServiceStatus struct {
	Name     string        `json:"name"`
	Team     string        `json:"team"`
	Protocol conf.Protocol `json:"protocol"`
	// Waiting and Running are the numbers of requests that wait and run at this
	// host. Slots is the number of requests that this host may run at a time.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// Limit is the maximum number of flows of this host at the servers while the
	// servers are slow, 0 for no limit.
	Limit float64 `json:"limit,omitempty"`
	// Offered, Answered, NotRun and Unknown count requests since the start of the
	// host: those received, those answered by a server, those known not to have
	// run and those whose outcome is unknown. For TCP services, Offered and
	// NotRun count accepted and refused connections.
	Offered  uint64         `json:"offered"`
	Answered uint64         `json:"answered"`
	NotRun   uint64         `json:"notRun"`
	Unknown  uint64         `json:"unknown"`
	Servers  []ServerStatus `json:"servers"`
}

// ServerStatus is the status of a backend server as one host sees it.
type ServerStatus struct {
	Name  string     `json:"name"`
	State conf.State `json:"state"`
	// Load is the number of requests, connections or flows of this host that are
	// open at the server.
	Load int `json:"load"`
	// Slots and Connections are the configured maximums of the server for all
	// hosts together.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Quarantined reports whether the server gets no traffic yet because its
	// address recently belonged to another service.
	Quarantined bool `json:"quarantined,omitempty"`
	// Unresponsive reports whether recent SYNs to the server are unanswered.
	Unresponsive bool `json:"suspect,omitempty"`
	// Warming reports whether the server is warming up after its start.
	Warming bool `json:"warming,omitempty"`
	// Slow reports whether the server's answers take much longer than those of
	// other servers.
	Slow bool `json:"slow,omitempty"`
}

// ClusterStatus is the status of all hosts as collected by one host.
type ClusterStatus struct {
	// From is the name of the host that collected the status.
	From string `json:"from"`
	// Latest is the highest revision that a host reported.
	Latest uint64     `json:"latest"`
	Hosts  []HostView `json:"hosts"`
}

// HostView is the status of a host, or the reason why it is missing.
type HostView struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Error is the reason why the host did not respond. Status is then nil.
	Error  string      `json:"error,omitempty"`
	Status *HostStatus `json:"status,omitempty"`
}

// PutRequest requests an edit of a section. A request to republish the document
// in force sets only Who and ID.
type PutRequest struct {
	Section conf.Section `json:"section"`
	// Base is the revision of the section on which the edit is based.
	Base uint64 `json:"base"`
	// Who is the name of the editor.
	Who string `json:"who"`
	// ID is the idempotency key of the edit.
	ID string `json:"id"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	// Commit is the accepted edit, nil if the edit was not accepted.
	Commit *conf.Commit `json:"commit,omitempty"`
	// Error is the reason why the edit was not accepted.
	Error string `json:"error,omitempty"`
	// Kind is the kind of the error: conflict, check, behind, denied or store.
	Kind string `json:"kind,omitempty"`
	// Faults are the faults of the section if Kind is check.
	Faults []conf.Fault `json:"faults,omitempty"`
	// Theirs is the current section and CurrentRevision its revision if Kind is
	// conflict.
	Theirs          *conf.Section `json:"theirs,omitempty"`
	CurrentRevision uint64        `json:"current,omitempty"`
	// LastEditor is the name of the editor of the current section if Kind is
	// conflict.
	LastEditor string `json:"lastWho,omitempty"`
}

// ConfigResponse is the configuration that is in force on a host.
type ConfigResponse struct {
	Head     *conf.Head     `json:"head"`
	Document *conf.Document `json:"document"`
}

// PeerConfig is the response to a PeerConfigRequest.
type PeerConfig struct {
	Head *conf.Head `json:"head"`
	// Bodies maps digests to the section bodies that the receiver lacks. Bodies
	// are compact JSON, so that encoding them here does not change their bytes.
	Bodies map[string]json.RawMessage `json:"bodies"`
}

// RawBodies returns the bodies by digest, byte for byte as in the store.
func (c *PeerConfig) RawBodies() map[string][]byte {
	out := make(map[string][]byte, len(c.Bodies))
	for d, b := range c.Bodies {
		out[d] = b
	}
	return out
}

// PeerConfigRequest requests the configuration of another host.
type PeerConfigRequest struct {
	// Have lists the digests of the bodies that the requesting host has.
	Have []string `json:"have"`
}

// RevisionNotice announces that a revision is in force on the sending host.
type RevisionNotice struct {
	Revision uint64 `json:"revision"`
}
