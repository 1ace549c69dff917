// Package page writes self-contained HTML pages: tables, and plots as inline SVG. They load nothing from elsewhere.
package page
