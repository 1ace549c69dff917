package intake

// Limits are the resources of a process.
type Limits struct {
	// Memory is the memory that the process may use, in bytes.
	Memory int64
	// Descriptors is the number of descriptors that the process may open.
	Descriptors int
}

// Class is a kind of clients.
type Class int

// Classes of clients.
const (
	// Outside are callers, operators and workers.
	Outside Class = iota
	// Inside are the processes of the system, which call each other over HTTP.
	Inside
	// Sessions are those that keep a connection of another protocol.
	Sessions
	// Checks are checks of readiness. They have the share of Sessions: no role has both.
	Checks
)

const (
	// connectionBytes is charged for each connection: the buffers of net/http (8 KiB), the stack of its goroutine (8 KiB), its
	// structures, and a short header.
	connectionBytes = 24 << 10
	// receivable bounds the bytes of a connection that the kernel holds unread. The kernel allows twice the size that a buffer is set to.
	receivable    = 32 << 10
	receiveBuffer = receivable / 2
	// sendBuffer bounds the bytes of answers that the kernel holds for a connection until its client reads them.
	sendBuffer = 8 << 10
	// reservedDescriptors are for files, logs and the runtime.
	reservedDescriptors = 200
	// minConnections lets a process with few descriptors serve at all.
	minConnections = 8
)

// Budget returns the bytes that may be held for the clients of a class. A quarter of the memory is for all of them, and a sixteenth for the
// connections from inside, whose budget is for messages only; the rest is for the state of the process, garbage that has not been collected, and
// the kernel.
func (l Limits) Budget(class Class) int64 {
	switch class {
	case Outside:
		return l.Memory / 6
	case Inside:
		return l.Memory / 16
	default:
		return l.Memory / 48
	}
}

// Connections returns the number of connections that the clients of a class may have open. Half of the descriptors are for those outside and
// a quarter for the others; the rest is for the connections that the process opens itself. The kernel's buffers of connections from
// outside take no more than an eighth of the memory, and connections from inside no more than a sixteenth.
func (l Limits) Connections(class Class) int {
	available := l.Descriptors - reservedDescriptors
	switch class {
	case Outside:
		return max(minConnections, min(available/2, int(l.Memory/8/receivable)))
	case Inside:
		return max(minConnections, min(available*3/16, int(l.Memory/16/connectionBytes)))
	default:
		return max(minConnections, available/16)
	}
}

// largestMessage returns the size of the largest body that one process of the system may send to another.
func (l Limits) largestMessage() int64 {
	return l.Memory / 4
}
