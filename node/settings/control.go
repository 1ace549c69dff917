package settings

import (
	"fmt"
	"slices"
)

// Control is the section of the role that keeps the replicated state.
type Control struct {
	// DataFolder is the folder for all files of the role. Files are durable once synced.
	DataFolder string `json:"data_folder"`
	// InitialMembers are the control VMs of a new system. Leave it empty on a VM that joins later, which is added with
	// "flamingohall members add".
	InitialMembers []Member `json:"initial_members"`
	// Seeds are the host:port pairs that this VM contacts to join a group when it belongs to none or was removed.
	Seeds []string `json:"seeds"`
	// Voters is the number of voting control VMs; 0 makes all vote. Further VMs are learners that replace unresponsive
	// voters.
	Voters int `json:"voters"`
	// SnapshotEvery is the number of log records between snapshots.
	SnapshotEvery int `json:"snapshot_every"`
	// TargetLeaseMS is how long a node is considered alive after its last message, in milliseconds.
	TargetLeaseMS int `json:"target_lease_ms"`
	// DataCentres are the names of the data centres that may be evacuated, besides those of the registered nodes.
	DataCentres []string `json:"data_centres"`
	// AckTimeoutMS is the limit for the acknowledgement of an order to evacuate a data centre, in milliseconds.
	AckTimeoutMS int `json:"ack_timeout_ms"`
}

// Member is one control VM.
type Member struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

const (
	defaultSnapshotEvery = 10_000
	maxSnapshotEvery     = 10_000_000
	defaultTargetLeaseMS = 6_000
	maxTargetLeaseMS     = 600_000
	// DefaultAckTimeoutMS is the default of Control.AckTimeoutMS: an election and a retry take less.
	DefaultAckTimeoutMS = 5_000
	maxAckTimeoutMS     = 60_000
	maxDataCentres      = 256
	maxDataCentreBytes  = 256
	maxMembers          = 8
)

func (k *Control) fillDefaults() {
	setDefault(&k.SnapshotEvery, defaultSnapshotEvery)
	setDefault(&k.TargetLeaseMS, defaultTargetLeaseMS)
	setDefault(&k.AckTimeoutMS, DefaultAckTimeoutMS)
}

func (k *Control) check(c *checker) {
	c.require(k.DataFolder != "", "/control/data_folder", "is missing", "name a folder on a disk that makes synced writes durable")
	c.between("/control/snapshot_every", k.SnapshotEvery, 1, maxSnapshotEvery)
	c.between("/control/target_lease_ms", k.TargetLeaseMS, 1, maxTargetLeaseMS)
	c.between("/control/initial_members", len(k.InitialMembers), 0, maxMembers)
	c.between("/control/voters", k.Voters, 0, maxMembers)
	c.addresses("/control/seeds", k.Seeds)
	c.between("/control/ack_timeout_ms", k.AckTimeoutMS, 1, maxAckTimeoutMS)
	c.between("/control/data_centres", len(k.DataCentres), 0, maxDataCentres)
	for i, name := range k.DataCentres {
		path := fmt.Sprintf("/control/data_centres/%d", i)
		c.require(name != "" && len(name) <= maxDataCentreBytes, path, fmt.Sprintf("has %d bytes", len(name)), "give a name of 1 to 256 bytes")
		c.require(slices.Index(k.DataCentres, name) == i, path, "appears twice", "list each data centre once")
	}
	seen := map[string]bool{}
	for i, member := range k.InitialMembers {
		path := fmt.Sprintf("/control/initial_members/%d", i)
		c.require(member.ID != "", path, "has no id", "give the control VM's node id")
		c.require(!seen[member.ID], path, "appears twice", "list each control VM once")
		seen[member.ID] = true
		c.address(path+"/address", member.Address)
	}
}
