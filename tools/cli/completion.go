package cli

import (
	"fmt"
	"io"
	"os"

	"flamingohall.example/core/fault"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" default:"bash" help:"bash, zsh or fish."`
}

// completionScripts holds the script of each shell as a format with the path of this program as argument. The shell runs
// the program with COMP_LINE set and reads the candidates from its output.
var completionScripts = map[string]string{
	"bash": "complete -C %[1]q flamingohall\n",
	"zsh":  "autoload -U +X bashcompinit && bashcompinit\ncomplete -C %[1]q flamingohall\n",
	"fish": "complete -f -c flamingohall -a \"(env COMP_LINE=(commandline -cp) %[1]q)\"\n",
}

// Help returns the long help: how to use the output.
func (completionCommand) Help() string {
	return `Nothing is installed. For this shell only:
  source <(flamingohall completion bash)`
}

// Run prints the completion script of the shell.
func (c *completionCommand) Run(out io.Writer) error {
	path, err := os.Executable()
	if err != nil {
		return fault.New(fault.Internal, "write the path into the line by hand", "path of this program: %v", err)
	}
	_, err = fmt.Fprintf(out, completionScripts[c.Shell], path)
	return err
}
