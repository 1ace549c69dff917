package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

type docsCommand struct{}

// Run prints the text of docs/CLI.md.
func (docsCommand) Run(ctx *kong.Context, out io.Writer) error {
	page := &docsPage{out: out}
	page.line("# The command line")
	page.line("")
	page.line("This page is written by `make generate` from the program itself.")
	page.line("")
	page.fence(ctx.Model.Help)
	page.line("## Flags of every command")
	page.line("")
	page.flags(ctx.Model.Flags)
	page.line("")
	for _, leaf := range ctx.Model.Leaves(true) {
		page.group(leaf)
		page.command(leaf)
	}
	return page.err
}

// docsPage writes Markdown and remembers the first error.
type docsPage struct {
	out io.Writer
	err error
}

func (p *docsPage) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

func (p *docsPage) fence(text string) {
	p.line("```text")
	p.line("%s", strings.TrimSpace(text))
	p.line("```")
	p.line("")
}

// group writes the help of a command's parent, if it has long help and the command is its first child.
func (p *docsPage) group(leaf *kong.Node) {
	parent := leaf.Parent
	if parent.Type != kong.CommandNode || parent.Detail == "" || parent.Children[0] != leaf {
		return
	}
	p.line("## %s", parent.FullPath())
	p.line("")
	p.line("%s", parent.Help)
	p.line("")
	p.fence(parent.Detail)
}

// command writes the section of a command.
func (p *docsPage) command(leaf *kong.Node) {
	p.line("## %s", leaf.FullPath())
	p.line("")
	p.line("%s", leaf.Help)
	p.line("")
	p.line("`%s %s`", leaf.FullPath(), strings.TrimSpace(arguments(leaf)+" [flags]"))
	p.line("")
	if leaf.Detail != "" {
		p.fence(leaf.Detail)
	}
	for _, positional := range leaf.Positional {
		p.line("- `%s`: %s", positional.Summary(), positional.Help)
	}
	p.flags(leaf.Flags)
	p.line("")
}

func arguments(leaf *kong.Node) string {
	names := make([]string, 0, len(leaf.Positional))
	for _, positional := range leaf.Positional {
		names = append(names, positional.Summary())
	}
	return strings.Join(names, " ")
}

func (p *docsPage) flags(flags []*kong.Flag) {
	for _, flag := range flags {
		if flag.Hidden {
			continue
		}
		note := ""
		if len(flag.Envs) > 0 {
			note += " Environment: `" + strings.Join(flag.Envs, "`, `") + "`."
		}
		if flag.HasDefault && flag.Default != "" {
			note += " Default: `" + flag.Default + "`."
		}
		p.line("- `--%s`: %s%s", flag.Name, flag.Help, note)
	}
}
