package raft

import "sort"

// replicaLog holds the entries after the base and knows how far they are handed out, synced, committed and applied.
// Invariant: base <= applied <= committed and base <= stable <= handed <= last.
type replicaLog struct {
	// base and baseTerm are the position before the first entry held.
	base     uint64
	baseTerm uint64
	entries  []Entry
	// handed is the last index given to storage, stable the last one known to be synced.
	handed    uint64
	stable    uint64
	committed uint64
	// applied is the last index given to the application.
	applied uint64
	// configurations are those in the log and the one at the base, oldest first.
	configurations []indexedConfiguration
}

type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

func (l *replicaLog) reset(snapshot *Snapshot) {
	*l = replicaLog{
		base: snapshot.Index, baseTerm: snapshot.Term,
		handed: snapshot.Index, stable: snapshot.Index,
		committed: snapshot.Index, applied: snapshot.Index,
		configurations: []indexedConfiguration{{snapshot.Index, snapshot.Configuration}},
	}
}

func (l *replicaLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *replicaLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at the index, false when the log does not hold it.
func (l *replicaLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

func (l *replicaLog) matches(index, term uint64) bool {
	held, found := l.term(index)
	return found && held == term
}

// isUpToDate reports whether a log that ends at the position holds everything that this one may have committed.
func (l *replicaLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// lastAtMost returns the last index up to limit whose term is at most the one given.
func (l *replicaLog) lastAtMost(limit, term uint64) uint64 {
	index := min(limit, l.last())
	for index > l.base {
		held, _ := l.term(index)
		if held <= term {
			break
		}
		index--
	}
	return index
}

func (l *replicaLog) append(entries ...Entry) {
	for _, entry := range entries {
		l.entries = append(l.entries, entry)
		if entry.Kind == Membership {
			l.configurations = append(l.configurations, indexedConfiguration{entry.Index, *entry.Configuration})
		}
	}
}

// merge stores entries that follow a position on which both logs agree. It cuts its own tail only at a real conflict,
// since a late message may carry a prefix of what it holds.
func (l *replicaLog) merge(entries []Entry) {
	for i, entry := range entries {
		if entry.Index <= l.base || l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.last() {
			l.truncate(entry.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// truncate drops the entries from the index on. They are not committed.
func (l *replicaLog) truncate(from uint64) {
	if from <= l.committed {
		panic("raft: a committed entry would be truncated")
	}
	kept := from - l.base - 1
	l.entries = append([]Entry(nil), l.entries[:kept]...)
	l.handed = min(l.handed, from-1)
	l.stable = min(l.stable, from-1)
	for len(l.configurations) > 1 && l.configurations[len(l.configurations)-1].index >= from {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// compact drops entries up to the index, which must be applied.
func (l *replicaLog) compact(to uint64) {
	if to <= l.base {
		return
	}
	term, _ := l.term(to)
	configuration := l.configurationAt(to)
	l.entries = append([]Entry(nil), l.entries[to-l.base:]...)
	l.base, l.baseTerm = to, term
	later := sort.Search(len(l.configurations), func(i int) bool { return l.configurations[i].index > to })
	held := []indexedConfiguration{{to, configuration}}
	l.configurations = append(held, l.configurations[later:]...)
}

// tailStart returns the position behind which up to count entries of up to maxBytes lead to the index.
func (l *replicaLog) tailStart(to, count uint64, maxBytes int) uint64 {
	size := 0
	start := to
	for start > l.base && to-start < count {
		size += l.entries[start-l.base-1].size()
		if size > maxBytes {
			break
		}
		start--
	}
	return start
}

// slice returns entries from the index on, at least one and at most maxBytes of them unless there are none.
func (l *replicaLog) slice(from, to uint64, maxBytes int) []Entry {
	if from > to {
		return nil
	}
	all := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i, entry := range all {
		size += entry.size()
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// configuration returns the one in force: the latest in the log, committed or not.
func (l *replicaLog) configuration() Configuration {
	if len(l.configurations) == 0 {
		return Configuration{}
	}
	return l.configurations[len(l.configurations)-1].configuration
}

func (l *replicaLog) configurationIndex() uint64 {
	if len(l.configurations) == 0 {
		return 0
	}
	return l.configurations[len(l.configurations)-1].index
}

func (l *replicaLog) configurationAt(index uint64) Configuration {
	later := sort.Search(len(l.configurations), func(i int) bool { return l.configurations[i].index > index })
	if later == 0 {
		return Configuration{}
	}
	return l.configurations[later-1].configuration
}
