// Package page writes self-contained HTML pages: tables, and plots as inline SVG. The pages load no external resources.
package page
