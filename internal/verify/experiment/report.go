package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"github.com/parquet-go/parquet-go"
)

// WriteReport writes a self-contained HTML page with charts and tables of the results in dir.
func WriteReport(dir, path string) error {
	rows, err := ReadRuns(dir)
	if err != nil {
		return err
	}
	seconds, err := parquet.ReadFile[SecondRow](filepath.Join(dir, secondsFile))
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return errors.New("the table of runs is empty")
	}
	page := struct {
		Plan, Hash, Program string
		Runs                int
		Violations          int64
		Charts              []chart
		Table               []Summary
	}{Plan: rows[0].Plan, Hash: rows[0].Hash, Program: rows[0].Program, Table: Summarize(rows)}
	for _, r := range rows {
		if r.Scope == scopeAll {
			page.Runs++
			page.Violations += r.Violations
		}
	}
	for _, scope := range []string{scopeClass, scopeTeam} {
		c, err := earnedChart(page.Table, scope)
		if err != nil {
			return err
		}
		page.Charts = append(page.Charts, c)
	}
	c, err := timeChart(rows, seconds)
	if err != nil {
		return err
	}
	page.Charts = append(page.Charts, c)
	var out bytes.Buffer
	if err := reportPage.Execute(&out, page); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// reportPage is the template of the report. Its fields are those of page in WriteReport and of Summary.
var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.1f %%", 100*v) },
	"ms": func(v float64) string {
		if v == 0 {
			return "" // no latency is computed over all classes together
		}
		return fmt.Sprintf("%.0f", v)
	},
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Plan}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem;
  color: #222; }
svg { max-width: 100%; height: auto; }
table { border-collapse: collapse; }
td, th { padding: .2rem .8rem; border-bottom: 1px solid #ddd; text-align: right; white-space: nowrap; }
td:nth-child(-n+3), th:nth-child(-n+3) { text-align: left; }
.note { color: #666; }
.bad { color: #a00; font-weight: bold; }
</style></head><body>
<h1>{{.Plan}}</h1>
<p>{{.Runs}} runs in virtual time; plan {{.Hash}}, program {{.Program}}.
{{if .Violations}}<span class="bad">{{.Violations}} rule violations.</span>{{else -}}
No rule violations.{{end}}</p>
{{range .Charts}}<h2>{{.Title}}</h2><p class="note">{{.Caption}}</p>{{.SVG}}{{end}}
<h2>Results</h2><p class="note">Means over the seeds with 95 % bootstrap confidence intervals.</p>
<table><tr><th>factors</th><th>of</th><th>name</th><th>worth earned</th><th>95 %</th>
<th>in time</th><th>95 %</th><th>p99, ms</th></tr>
{{range .Table}}<tr><td>{{.Factors}}</td><td>{{.Scope}}</td><td>{{.Name}}</td>
{{- "" -}}
<td>{{percent .EarnedShare.Mean}}</td>
<td>{{percent .EarnedShare.Low}} to {{percent .EarnedShare.High}}</td><td>{{percent .InTime.Mean}}</td>
<td>{{percent .InTime.Low}} to {{percent .InTime.High}}</td><td>{{ms .P99.Mean}}</td></tr>
{{end}}</table></body></html>
`))
