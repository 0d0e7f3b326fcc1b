package burn

// This file defines the HTML rendering of a report: a single page without external
// resources.

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"time"
)

// barWidth is the width of a full bar in pixels.
const barWidth = 260

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"bar":     func(burn float64) int { return int(math.Min(1, burn/maxShownBurn) * barWidth) },
	"budget":  func(remaining float64) int { return int(math.Max(0, math.Min(1, remaining)) * barWidth) },
	"percent": func(x float64) float64 { return 100 * x },
	"tenth":   func(n int) float64 { return float64(n) / 10 },
	"span":    formatWindow,
	"when":    func(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) },
	"top": func(causes []WeightedCause) []WeightedCause {
		return causes[:min(len(causes), maxShownCauses)]
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
<html lang="en"><meta charset="utf-8"><title>Error-budget burn</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2em;color:#1c1b1f;background:#fff}
h1{font-size:1.4em} h2{font-size:1.1em;margin:1.6em 0 .3em}
table{border-collapse:collapse} td,th{padding:.15em .8em .15em 0;text-align:left;vertical-align:middle}
td.n{text-align:right;font-variant-numeric:tabular-nums} .muted{color:#5f5d66}
</style>
<h1>Error-budget burn</h1>
<p class="muted">{{when .UnixMilli}}, {{len .Hosts}} hosts{{if .Missing}}; no response from{{range .Missing}} {{.}}{{end}}{{end}}</p>
<p{{if .Jobs.Overdue}} style="color:#b3261e"{{end}}>Deferrable work: {{.Jobs.Waiting}} waiting, {{.Jobs.Overdue}} overdue, {{.Jobs.Failing}} failing.</p>
{{range .Services}}
<h2>{{.Partner}} / {{.Name}}</h2>
<p class="muted">objective: {{tenth .GoodPerThousand}}% good within {{.LatencyMillis}} ms</p>
<table>
{{range .Windows}}<tr><td>{{span .Seconds}}</td>
<td><svg width="260" height="14" role="img"><rect width="260" height="14" fill="#eceaf0"/><rect width="{{bar .Burn}}" height="14" fill="{{colour .Burn}}"/></svg></td>
<td class="n">{{printf "%.2f" .Burn}}x</td><td class="n">{{.Bad}} bad of {{.Total}}</td></tr>
{{end}}<tr><td>remaining budget</td>
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
	// maxShownBurn is the burn rate at which a bar is full.
	maxShownBurn = 20.0
	// fastBurn is the burn rate at and above which a bar is red.
	fastBurn = 14.4
)

// formatWindow formats the length of a window in hours or minutes.
func formatWindow(seconds int64) string {
	d := time.Duration(seconds) * time.Second
	if d%time.Hour == 0 {
		return fmt.Sprintf("%d h", d/time.Hour)
	}
	return fmt.Sprintf("%d min", d/time.Minute)
}

// WriteHTML writes the report as a self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error { return pageTemplate.Execute(w, r) }
