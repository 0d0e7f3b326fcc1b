package burn

// This file defines the HTML form of a report: one page without outside parts.

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"time"
)

// barWidth is the width of the longest bar, in pixels.
const barWidth = 260

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"bar":     func(burn float64) int { return int(math.Min(1, burn/maxShownBurn) * barWidth) },
	"budget":  func(left float64) int { return int(math.Max(0, math.Min(1, left)) * barWidth) },
	"percent": func(x float64) float64 { return 100 * x },
	"tenth":   func(n int) float64 { return float64(n) / 10 },
	"span":    spanText,
	"when":    func(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) },
	"top": func(b []Blame) []Blame {
		return b[:min(len(b), shownCauses)]
	},
	"colour": func(burn float64) string {
		switch {
		case burn >= fastBurn:
			return "#b3261e"
		case burn >= 1:
			return "#c77700"
		}
		return "#2e7d32"
	},
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2em;color:#1c1b1f;background:#fff}
h1{font-size:1.4em} h2{font-size:1.1em;margin:1.6em 0 .3em}
table{border-collapse:collapse} td,th{padding:.15em .8em .15em 0;text-align:left;vertical-align:middle}
td.n{text-align:right;font-variant-numeric:tabular-nums} .muted{color:#5f5d66}
</style>
<h1>Service-level burn</h1>
<p class="muted">{{when .UnixMilli}}, {{len .Hosts}} hosts{{if .Missing}}; no answer from{{range .Missing}} {{.}}{{end}}{{end}}</p>
<p{{if .Jobs.Overdue}} style="color:#b3261e"{{end}}>Work that may wait: {{.Jobs.Waiting}} waiting, {{.Jobs.Overdue}} overdue, {{.Jobs.Failing}} failing.</p>
{{range .Services}}
<h2>{{.Partner}} / {{.Name}}</h2>
<p class="muted">objective: {{tenth .GoodPerThousand}}% good within {{.LatencyMillis}} ms</p>
<table>
{{range .Windows}}<tr><td>{{span .Seconds}}</td>
<td><svg width="260" height="14" role="img"><rect width="260" height="14" fill="#eceaf0"/><rect width="{{bar .Burn}}" height="14" fill="{{colour .Burn}}"/></svg></td>
<td class="n">{{printf "%.2f" .Burn}}x</td><td class="n">{{.Bad}} bad of {{.Total}}</td></tr>
{{end}}<tr><td>budget left</td>
<td><svg width="260" height="14" role="img"><rect width="260" height="14" fill="#eceaf0"/><rect width="{{budget .BudgetLeft}}" height="14" fill="#3f51b5"/></svg></td>
<td class="n">{{printf "%.1f" (percent .BudgetLeft)}}%</td><td></td></tr>
</table>
{{if .Causes}}<table><tr><th>cause</th><th>target</th><th>domain</th><th>weight</th></tr>
{{range top .Causes}}<tr><td>{{.Fault}}</td><td>{{.Target}}</td><td>{{.Domain}}</td><td class="n">{{printf "%.0f" .Weight}}</td></tr>
{{end}}</table>{{end}}
{{else}}<p>No requests were counted.</p>{{end}}
</html>
`))

const (
	// maxShownBurn is the burn rate of a full bar.
	maxShownBurn = 20.0
	// fastBurn is the burn rate from which a bar is red.
	fastBurn = 14.4
)

// spanText returns a span in hours or minutes.
func spanText(seconds int64) string {
	d := time.Duration(seconds) * time.Second
	if d%time.Hour == 0 {
		return fmt.Sprintf("%d h", d/time.Hour)
	}
	return fmt.Sprintf("%d min", d/time.Minute)
}

// WriteHTML writes the report as one self-contained page.
func (r Report) WriteHTML(w io.Writer) error { return page.Execute(w, r) }
