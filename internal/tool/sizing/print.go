package sizing

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/dustin/go-humanize"
)

// Print writes a plan and its slopes as the Markdown tables of docs/CAPACITY.md.
//
//	err := sizing.Print(os.Stdout, plan, slopes)
func Print(w io.Writer, plan Plan, slopes Slopes) error {
	var b strings.Builder
	printRoles(&b, plan)
	printTotals(&b, plan)
	printTable(&b, plan)
	printScenarios(&b, plan)
	printSlopes(&b, slopes)
	_, err := io.WriteString(w, b.String())
	return err
}

func printRoles(b *strings.Builder, plan Plan) {
	fmt.Fprintf(b, "### What each role costs a node\n\n")
	fmt.Fprintf(b, "| role | mechanism | state | messages/s | control: core | memory | bytes/s | data: cores | memory | bytes/s |\n")
	fmt.Fprintf(b, "|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range plan.Roles {
		if r.Alone {
			r.Name += " (one node for all)"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %.2f | %s | %s |\n", r.Name, r.Mechanism, r.State,
			number(r.Control.Messages+r.Data.Messages), percent(r.Control.Core), size(r.Control.Memory), size(r.Control.Network),
			r.Data.Core, size(r.Data.Memory), size(r.Data.Network))
	}
	b.WriteByte('\n')
}

func printTotals(b *strings.Builder, plan Plan) {
	control, data := plan.Total()
	limits := ControlBudget()
	fmt.Fprintf(b, "### The sum beside the budget of control\n\n| | control | budget | fits | data |\n|---|---|---|---|---|\n")
	fmt.Fprintf(b, "| processor | %s of a core | %s | %s | %.2f cores |\n", percent(control.Core), percent(limits.Core), fits(control.Core, limits.Core), data.Core)
	fmt.Fprintf(b, "| memory | %s | %s | %s | %s |\n", size(control.Memory), size(limits.Memory), fits(control.Memory, limits.Memory), size(data.Memory))
	fmt.Fprintf(b, "| network | %s/s | %s/s | %s | %s/s |\n\n", size(control.Network), size(limits.Network), fits(control.Network, limits.Network), size(data.Network))
}

func printTable(b *strings.Builder, plan Plan) {
	fmt.Fprintf(b, "### The platform's table\n\n| use | reads/s | writes/s |\n|---|---|---|\n")
	reads, writes := 0.0, 0.0
	for _, s := range plan.Table {
		fmt.Fprintf(b, "| %s | %s | %s |\n", s.Use, number(s.Reads), number(s.Writes))
		reads, writes = reads+s.Reads, writes+s.Writes
	}
	fmt.Fprintf(b, "| sum | %s | %s |\n| what it carries | %s | %s |\n\n", number(reads), number(writes), number(plan.Fleet.TableReads), number(plan.Fleet.TableWrites))
}

func printScenarios(b *strings.Builder, plan Plan) {
	fmt.Fprintf(b, "### The worst days\n\n| event | what moves | bytes at one node | for |\n|---|---|---|---|\n")
	for _, d := range plan.Days {
		fmt.Fprintf(b, "| %s | %s | %s | %.1f s |\n", d.Event, d.Moves, size(d.Bytes), d.Seconds)
	}
	b.WriteByte('\n')
}

func printSlopes(b *strings.Builder, slopes Slopes) {
	fmt.Fprintf(b, "### The slopes\n\n| slope | value | unit | range measured | reach | command |\n|---|---|---|---|---|---|\n")
	names := make([]string, 0, len(slopes))
	for name := range slopes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := slopes[name]
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | `%s` |\n", s.Name, humanize.Commaf(s.Value), s.Unit, s.Range, s.Extrapolation, s.Command)
	}
}

func size(bytes float64) string {
	if bytes == 0 {
		return "–"
	}
	return humanize.IBytes(uint64(bytes))
}

func percent(fraction float64) string {
	if fraction == 0 {
		return "–"
	}
	return fmt.Sprintf("%.3f%%", 100*fraction)
}

func number(n float64) string {
	if n == 0 {
		return "–"
	}
	return humanize.CommafWithDigits(n, 1)
}

func fits(value, limit float64) string {
	if value <= limit {
		return "yes"
	}
	return fmt.Sprintf("no, %.1f times", value/limit)
}
