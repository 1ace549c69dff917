package settings

import "fmt"

// Control is the section of the role that keeps the replicated state.
type Control struct {
	// DataFolder is the one folder for files; they last once synced.
	DataFolder string `json:"data_folder"`
	// InitialMembers are the control VMs of a new system. A VM that joins later leaves it empty and is added with
	// "flamingohall members add".
	InitialMembers []Member `json:"initial_members"`
	// Seeds are host:port pairs at which this VM looks for the group by itself, when it belongs to none or was removed.
	Seeds []string `json:"seeds"`
	// Voters is how many control VMs are to count; 0 lets all count. Further ones take the place of silent ones.
	Voters int `json:"voters"`
	// SnapshotEvery is the number of log records between snapshots.
	SnapshotEvery int `json:"snapshot_every"`
	// TargetLeaseMS is how long a node counts as alive after its last message, in milliseconds.
	TargetLeaseMS int `json:"target_lease_ms"`
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
	maxMembers           = 8
)

func (k *Control) fillDefaults() {
	setDefault(&k.SnapshotEvery, defaultSnapshotEvery)
	setDefault(&k.TargetLeaseMS, defaultTargetLeaseMS)
}

func (k *Control) check(c *checker) {
	c.require(k.DataFolder != "", "/control/data_folder", "is missing", "name a folder on a disk that syncs")
	c.between("/control/snapshot_every", k.SnapshotEvery, 1, maxSnapshotEvery)
	c.between("/control/target_lease_ms", k.TargetLeaseMS, 1, maxTargetLeaseMS)
	c.between("/control/initial_members", len(k.InitialMembers), 0, maxMembers)
	c.between("/control/voters", k.Voters, 0, maxMembers)
	c.addresses("/control/seeds", k.Seeds)
	seen := map[string]bool{}
	for i, member := range k.InitialMembers {
		path := fmt.Sprintf("/control/initial_members/%d", i)
		c.require(member.ID != "", path, "has no id", "give the control VM's node id")
		c.require(!seen[member.ID], path, "stands twice", "list each control VM once")
		seen[member.ID] = true
		c.address(path+"/address", member.Address)
	}
}
