// Package wire holds the JSON that hosts, operators' commands and the screen
// exchange.
package wire

import (
	"encoding/json"
	"time"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// HostStatus is what a host says of itself.
type HostStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// At is the wall time of the status.
	At time.Time `json:"at"`
	// Revision is the configuration's revision in force, 0 if there is none.
	Revision     uint64    `json:"revision"`
	InForceSince time.Time `json:"since"`
	Started      time.Time `json:"started"`
	Leaving      bool      `json:"leaving"`
	// PlatformDown tells that a watching host cannot reach the platform.
	PlatformDown bool   `json:"platformDown"`
	Alarm        string `json:"alarm,omitempty"`
	// Flows are the datagram flows that the host holds.
	Flows    int             `json:"flows"`
	Members  []MemberStatus  `json:"members"`
	Services []ServiceStatus `json:"services"`
}

// StatusRequest asks a host for its status.
type StatusRequest struct {
	// Brief leaves the services out.
	Brief bool `json:"brief"`
}

// MemberStatus is what a host believes of another.
type MemberStatus struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Health   string `json:"health"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
}

// ServiceStatus is a service at one host.
type ServiceStatus struct {
	Name     string        `json:"name"`
	Team     string        `json:"team"`
	Protocol conf.Protocol `json:"protocol"`
	// Waiting and Running are requests; Slots is how many may run here.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// Limit bounds this host's flows at the servers while they answer late; 0
	// for no limit.
	Limit float64 `json:"limit,omitempty"`
	// The counts are since the host's start.
	Offered  uint64         `json:"offered"`
	Answered uint64         `json:"answered"`
	NotRun   uint64         `json:"notRun"`
	Unknown  uint64         `json:"unknown"`
	Servers  []ServerStatus `json:"servers"`
}

// ServerStatus is a backend server as one host sees it.
type ServerStatus struct {
	Name  string     `json:"name"`
	State conf.State `json:"state"`
	// Load is this host's requests, connections or flows at the server.
	Load int `json:"load"`
	// Slots and Connections are the server's own.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Quarantined tells that the address belonged to another service.
	Quarantined bool `json:"quarantined,omitempty"`
	// Suspect tells that the server does not answer this host, and Warming
	// that it is still slow after its start.
	Unresponsive bool `json:"suspect,omitempty"`
	Warming      bool `json:"warming,omitempty"`
	// Slow tells that its answers take much longer than others'.
	Slow bool `json:"slow,omitempty"`
}

// ClusterStatus is all hosts as seen from one.
type ClusterStatus struct {
	// From is the host that asked the others.
	From string `json:"from"`
	// Latest is the highest revision that any host reported.
	Latest uint64     `json:"latest"`
	Hosts  []HostView `json:"hosts"`
}

// HostView is one host's status, or why there is none.
type HostView struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Error says why the host did not answer; Status is then nil.
	Error  string      `json:"error,omitempty"`
	Status *HostStatus `json:"status,omitempty"`
}

// PutRequest is an operator's edit of a section.
type PutRequest struct {
	Section conf.Section `json:"section"`
	Base    uint64       `json:"base"`
	Who     string       `json:"who"`
	ID      string       `json:"id"`
}

// PutAnswer is the answer to an edit.
type PutResponse struct {
	Commit *conf.Commit `json:"commit,omitempty"`
	// Error says why the edit was not accepted.
	Error string `json:"error,omitempty"`
	// Kind is conflict, check, behind, denied or store.
	Kind   string       `json:"kind,omitempty"`
	Faults []conf.Fault `json:"faults,omitempty"`
	// Theirs and Current are set in a conflict.
	Theirs          *conf.Section `json:"theirs,omitempty"`
	CurrentRevision uint64        `json:"current,omitempty"`
	// LastWho made the edit in between.
	LastEditor string `json:"lastWho,omitempty"`
}

// ConfigAnswer is the configuration as a host has it in force.
type ConfigResponse struct {
	Head     *conf.Head     `json:"head"`
	Document *conf.Document `json:"document"`
}

// PeerConfig is a configuration on its way between hosts.
type PeerConfig struct {
	Head *conf.Head `json:"head"`
	// Bodies holds the section bodies that the receiver lacks, by digest. They
	// are compact JSON, so that their bytes survive the encoding.
	Bodies map[string]json.RawMessage `json:"bodies"`
}

// Raw returns the bodies as they are stored.
func (c *PeerConfig) RawBodies() map[string][]byte {
	out := make(map[string][]byte, len(c.Bodies))
	for d, b := range c.Bodies {
		out[d] = b
	}
	return out
}

// PeerConfigRequest asks a host for its configuration.
type PeerConfigRequest struct {
	// Have lists the digests of bodies that the asker has.
	Have []string `json:"have"`
}

// Notice tells a host that another has a revision in force.
type RevisionNotice struct {
	Revision uint64 `json:"revision"`
}
