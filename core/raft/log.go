package raft

import "sort"

// replicaLog holds the entries after the base and tracks which of them are submitted to storage, synced, committed and
// applied.
// Invariant: base <= applied <= committed and base <= stable <= submitted <= last.
type replicaLog struct {
	// base and baseTerm are the index and term of the entry before the first one in the log.
	base     uint64
	baseTerm uint64
	entries  []Entry
	// submitted is the last index passed to storage, stable the last one known to be synced.
	submitted uint64
	stable    uint64
	committed uint64
	// applied is the last index passed to the application.
	applied uint64
	// configurations holds the configuration at the base and those in the log, oldest first.
	configurations []indexedConfiguration
}

type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

func (l *replicaLog) reset(snapshot *Snapshot) {
	*l = replicaLog{
		base: snapshot.Index, baseTerm: snapshot.Term,
		submitted: snapshot.Index, stable: snapshot.Index,
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

// term returns the term of the entry at the index, or false if the log does not contain it.
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
	entryTerm, found := l.term(index)
	return found && entryTerm == term
}

// isUpToDate reports whether a log that ends at the index and term is at least as up to date as this one.
func (l *replicaLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// lastAtMost returns the last index up to limit whose term is at most the one given.
func (l *replicaLog) lastAtMost(limit, term uint64) uint64 {
	index := min(limit, l.last())
	for index > l.base {
		entryTerm, _ := l.term(index)
		if entryTerm <= term {
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

// merge stores entries that follow a position at which both logs match. It truncates only at a conflicting entry, since
// a delayed message may carry a prefix of the log.
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

// truncate drops the entries from the index on. It panics if one of them is committed.
func (l *replicaLog) truncate(from uint64) {
	if from <= l.committed {
		panic("raft: committed entries can't be truncated")
	}
	kept := from - l.base - 1
	l.entries = append([]Entry(nil), l.entries[:kept]...)
	l.submitted = min(l.submitted, from-1)
	l.stable = min(l.stable, from-1)
	for len(l.configurations) > 1 && l.configurations[len(l.configurations)-1].index >= from {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// compact drops the entries up to the index, which must be applied.
func (l *replicaLog) compact(to uint64) {
	if to <= l.base {
		return
	}
	term, _ := l.term(to)
	configuration := l.configurationAt(to)
	l.entries = append([]Entry(nil), l.entries[to-l.base:]...)
	l.base, l.baseTerm = to, term
	later := sort.Search(len(l.configurations), func(i int) bool { return l.configurations[i].index > to })
	retained := []indexedConfiguration{{to, configuration}}
	l.configurations = append(retained, l.configurations[later:]...)
}

// tailStart returns the index before the last entries up to index to, at most count of them and maxBytes in size.
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

// slice returns entries between the indexes, both included, up to maxBytes but at least one if there is any.
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

// configuration returns the configuration in force, which is the latest in the log, committed or not.
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
