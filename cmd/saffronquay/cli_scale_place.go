package main

import (
	"fmt"
	"io"
	"saffronquay/internal/scale/place"
	"strings"

	"github.com/spf13/cobra"
)

// scalePlace returns the command that compares placements of the voters.
func (c *cli) scalePlace() *cobra.Command {
	detail := 0
	cmd := &cobra.Command{
		Use: "place", Short: "Compare placements of the voters of a two-region fleet", Args: cobra.NoArgs,
		Long: "Enumerates, for each placement, every single and double loss of a machine, a rack, a zone, a region and the link between the regions, and\n" +
			"prints which functions stop, and for how many minutes a year, as Markdown. The fleet has the expected size: 600 gatherers in two regions and\n" +
			"six zones. --detail lists each loss of one placement. It opens no sockets.",
		Example: "  saffronquay scale place\n  saffronquay scale place --detail 6",
		RunE: func(*cobra.Command, []string) error {
			f, all := place.ExpectedFleet(), place.Placements()
			if detail < 0 || detail > len(all) {
				return fmt.Errorf("--detail: no such placement: want 1 to %d, or 0 for the table", len(all))
			}
			if detail > 0 {
				p := all[detail-1]
				return c.print(f.Evaluate(p), func(w io.Writer) {
					fmt.Fprintf(w, "%s\n\n", strings.ToUpper(p.Name[:1])+p.Name[1:])
					place.Detail(w, f, p)
				})
			}
			var sums []place.Sum
			for _, p := range all {
				sums = append(sums, f.Evaluate(p))
			}
			return c.print(sums, func(w io.Writer) {
				place.Table(w, f, all)
				fmt.Fprintf(w, "\nassumed outages of one unit, per year and minutes each:")
				for k := place.Machine; k <= place.Gatherer; k++ {
					fmt.Fprintf(w, " %s %.2f x %.1f;", k, f.LossRates[k].PerYear, f.LossRates[k].Minutes)
				}
				fmt.Fprintln(w)
			})
		},
	}
	cmd.Flags().IntVar(&detail, "detail", 0, "row of the placement whose losses are listed, from 1 on; 0: the table")
	return cmd
}
