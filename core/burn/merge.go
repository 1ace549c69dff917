package burn

import "slices"

// Merge adds up the reports of several processes, as if one process had counted all their submissions. Where objectives
// differ, those of the latest report apply, because its process has the newer catalogue.
func Merge(reports ...Report) Report {
	merged := Report{Rows: []Row{}}
	ordered := slices.Clone(reports)
	slices.SortStableFunc(ordered, func(a, b Report) int { return int(a.AtUnixMS - b.AtUnixMS) })
	positions := map[pair]int{}
	for _, report := range ordered {
		merged.AtUnixMS = max(merged.AtUnixMS, report.AtUnixMS)
		for _, row := range report.Rows {
			key := pair{entry: row.Entry, owner: row.Owner}
			position, found := positions[key]
			if !found {
				positions[key] = len(merged.Rows)
				merged.Rows = append(merged.Rows, row.clone())
				continue
			}
			merged.Rows[position].add(row)
		}
	}
	for i := range merged.Rows {
		merged.Rows[i].computeBurn()
	}
	sortRows(merged.Rows)
	return merged
}

// clone returns a row that shares no memory with r.
func (r Row) clone() Row {
	r.Windows = slices.Clone(r.Windows)
	r.LastHour = slices.Clone(r.LastHour)
	return r
}

// add adds a later report's row of the same pair to r.
func (r *Row) add(other Row) {
	if other.Objective != nil {
		r.Objective = other.Objective
	}
	for i := range min(len(r.Windows), len(other.Windows)) {
		r.Windows[i].Good += other.Windows[i].Good
		r.Windows[i].Bad += other.Windows[i].Bad
	}
	r.LastHour = mergeMinutes(r.LastHour, other.LastHour)
}

// mergeMinutes merges two lists that are ordered by start and adds up equal minutes.
func mergeMinutes(a, b []Minute) []Minute {
	merged := make([]Minute, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0].StartUnix < b[0].StartUnix:
			merged, a = append(merged, a[0]), a[1:]
		case a[0].StartUnix > b[0].StartUnix:
			merged, b = append(merged, b[0]), b[1:]
		default:
			both := Minute{StartUnix: a[0].StartUnix, Good: a[0].Good + b[0].Good, Bad: a[0].Bad + b[0].Bad}
			merged, a, b = append(merged, both), a[1:], b[1:]
		}
	}
	merged = append(merged, a...)
	return append(merged, b...)
}
