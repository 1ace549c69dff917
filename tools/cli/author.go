package cli

import (
	"os/user"
)

// authorOr returns the given author, or the current user's name when it is empty.
func authorOr(given string) string {
	if given != "" {
		return given
	}
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
