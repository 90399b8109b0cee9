package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes text and keeps the first error. After an error it writes nothing.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// printTable prints a header and rows, whose cells are separated by tabs, as aligned columns.
func printTable(out io.Writer, header string, rows func(p *printer)) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	p := &printer{w: w}
	p.printf("%s\n", header)
	rows(p)
	if p.err != nil {
		return p.err
	}
	return w.Flush()
}
