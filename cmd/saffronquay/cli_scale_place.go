package main

import (
	"fmt"
	"io"
	"saffronquay/internal/scale/place"
	"strings"

	"github.com/spf13/cobra"
)

// scalePlace weighs where voters stand.
func (c *cli) scalePlace() *cobra.Command {
	detail := 0
	cmd := &cobra.Command{
		Use: "place", Short: "Weigh where the voters of a fleet in two regions stand", Args: cobra.NoArgs,
		Long: "Goes, for each placing, through every single and double loss of a machine, a rack, a zone, a region and the link between the regions, and\n" +
			"tells what stops, and for how many minutes of a year, as Markdown. The fleet is the one that is expected: 600 gatherers in two regions and\n" +
			"six zones. --detail has each loss of one placing. Nothing is opened.",
		Example: "  saffronquay scale place\n  saffronquay scale place --detail 6",
		RunE: func(*cobra.Command, []string) error {
			f, all := place.Coming(), place.Placings()
			if detail < 0 || detail > len(all) {
				return fmt.Errorf("--detail: want the number of a placing, 1 to %d, or 0 for the table", len(all))
			}
			if detail > 0 {
				p := all[detail-1]
				return c.print(f.Weigh(p), func(w io.Writer) {
					fmt.Fprintf(w, "%s\n\n", strings.ToUpper(p.Name[:1])+p.Name[1:])
					place.Detail(w, f, p)
				})
			}
			var sums []place.Sum
			for _, p := range all {
				sums = append(sums, f.Weigh(p))
			}
			return c.print(sums, func(w io.Writer) {
				place.Table(w, f, all)
				fmt.Fprintf(w, "\nassumed of one of a kind, times a year and minutes each:")
				for k := place.Machine; k <= place.Gatherer; k++ {
					fmt.Fprintf(w, " %s %.2f x %.1f;", k, f.Often[k].PerYear, f.Often[k].Minutes)
				}
				fmt.Fprintln(w)
			})
		},
	}
	cmd.Flags().IntVar(&detail, "detail", 0, "each loss of the placing in that row, from 1 on; 0: the table")
	return cmd
}
