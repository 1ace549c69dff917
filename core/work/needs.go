package work

// Needs is an amount of resources: what a task needs, or what a worker has.
type Needs struct {
	// MilliCores are thousandths of a core.
	MilliCores int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB   int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators are whole devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum.
func (n Needs) Plus(other Needs) Needs {
	return Needs{
		MilliCores: n.MilliCores + other.MilliCores, MemoryMB: n.MemoryMB + other.MemoryMB,
		Accelerators: n.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference, whose fields may be negative.
func (n Needs) Minus(other Needs) Needs {
	return Needs{
		MilliCores: n.MilliCores - other.MilliCores, MemoryMB: n.MemoryMB - other.MemoryMB,
		Accelerators: n.Accelerators - other.Accelerators,
	}
}

// Max returns the larger amount of each resource.
func (n Needs) Max(other Needs) Needs {
	return Needs{
		MilliCores: max(n.MilliCores, other.MilliCores), MemoryMB: max(n.MemoryMB, other.MemoryMB),
		Accelerators: max(n.Accelerators, other.Accelerators),
	}
}

// Times returns the sum of count equal needs.
func (n Needs) Times(count int64) Needs {
	return Needs{MilliCores: n.MilliCores * count, MemoryMB: n.MemoryMB * count, Accelerators: n.Accelerators * count}
}

// FitsIn reports whether the free amount covers every resource.
func (n Needs) FitsIn(free Needs) bool {
	return n.MilliCores <= free.MilliCores && n.MemoryMB <= free.MemoryMB && n.Accelerators <= free.Accelerators
}

// ShareOf returns the largest share of a capacity that any resource takes: 1 fills it, more does not fit.
func (n Needs) ShareOf(capacity Needs) float64 {
	return max(
		share(n.MilliCores, capacity.MilliCores),
		share(n.MemoryMB, capacity.MemoryMB),
		share(n.Accelerators, capacity.Accelerators),
	)
}

// unavailable is the share that any need takes of a resource that the worker does not have.
const unavailable = 1e6

func share(need, capacity int64) float64 {
	switch {
	case need <= 0:
		return 0
	case capacity <= 0:
		return unavailable
	}
	return float64(need) / float64(capacity)
}
