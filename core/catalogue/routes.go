package catalogue

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Routes maps HTTP requests to entries. It is immutable.
type Routes struct {
	// byHost holds the entries of each host, longest prefix first.
	byHost map[string][]Entry
}

// Routes returns the routes to the document's entries.
func (d Document) Routes() *Routes {
	routes := &Routes{byHost: map[string][]Entry{}}
	for _, entry := range d.Entries {
		if entry.Address != nil {
			host := strings.ToLower(entry.Address.Host)
			routes.byHost[host] = append(routes.byHost[host], entry)
		}
	}
	for _, entries := range routes.byHost {
		slices.SortStableFunc(entries, func(a, b Entry) int {
			return cmp.Compare(len(b.Address.Prefix), len(a.Address.Prefix))
		})
	}
	return routes
}

// Find returns the entry with the longest prefix of the path, and the rest of the path.
func (r *Routes) Find(host, path string) (entry Entry, rest string, found bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, candidate := range r.byHost[strings.ToLower(host)] {
		if after, begins := strings.CutPrefix(path, candidate.Address.Prefix); begins {
			return candidate, after, true
		}
	}
	return Entry{}, "", false
}
