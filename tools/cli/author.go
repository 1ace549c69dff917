package cli

import (
	"os/user"
)

// authorOr returns the author given, or the name of the user who runs the command.
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
