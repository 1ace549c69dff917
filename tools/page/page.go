package page

import (
	"bytes"
	"html/template"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// Size of a plot on the page, in points.
const (
	plotWidth  vg.Length = 520
	plotHeight vg.Length = 230
)

// document is the data of the page template.
type document struct {
	Title string
	// Notes are lines of text above the sections.
	Notes    []string
	Sections []section
}

// section is a heading with a table and plots; both may be empty.
type section struct {
	Heading string
	Head    []string
	Rows    [][]string
	Plots   []template.HTML
}

var layout = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en-GB"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 72em; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border-bottom: 1px solid #ccc; padding: 0.25em 0.8em; text-align: left; font-variant-numeric: tabular-nums; }
svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>{{.Title}}</h1>
{{range .Notes}}<p>{{.}}</p>
{{end}}{{range .Sections}}<h2>{{.Heading}}</h2>
{{if .Head}}<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{end}}{{range .Plots}}<figure>{{.}}</figure>
{{end}}{{end}}</body></html>
`))

// write renders the page.
func (d document) write(out io.Writer) error {
	if err := layout.Execute(out, d); err != nil {
		return errors.Wrap(err, "page")
	}
	return nil
}

// inline renders a plot as an SVG element.
func inline(p *plot.Plot) (template.HTML, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Wrap(err, "plot")
	}
	var text bytes.Buffer
	if _, err := writer.WriteTo(&text); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	svg := text.String()
	start := strings.Index(svg, "<svg")
	if start < 0 {
		return "", errors.New("plot: no SVG element")
	}
	return template.HTML(svg[start:]), nil //nolint:gosec // The plot library escapes its texts.
}
