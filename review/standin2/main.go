// Command standin2 plays the cases of the second review: it starts the controllers with
// the command of the deploy file as separate processes, and has stand-ins of the state
// service, the cloud, the workers and the users, all on loopback addresses.
//
//	standin2 CASE ROOT FOLDER
//
// ROOT is the repository, FOLDER gets record.txt. It exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are registered by their files.
var cases = map[string]func(root, folder string){}

// longestRun ends a run that hangs; a case may take 120 s.
const longestRun = 118 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2], os.Args[3])
	os.Exit(2) // not reached: each case ends with a verdict
}

// rostalap returns the settings of the smallest site of the pages.
func rostalap() settings {
	return settings{
		Count:     3,
		Zones:     []string{"szeged-a", "szeged-b", "budapest-r"},
		Teams:     []team{{Name: "beosztas"}},
		Workers:   timings{ReportS: 3, LeaseS: 32, GangWaitS: 40, GangPeerS: 4, CancelS: 62},
		State:     stateLimits{RPS: 60, WriteRPS: 20, ValueKB: 4, TxnOps: 12},
		Cloud:     cloudLimits{RPS: 2, ListLag: 10},
		Resources: object{"core_share": 0.12, "ram_mb": 98, "max_connections": 800},
		SkewMS:    100,
	}
}

var rostalapTypes = []machineType{
	{Name: "kis", Cores: 16, RAM: 64, Local: 50, Fetch: 0.2, Price: 1.03, LowPrice: 0.49, Ready: 50, Yards: []string{"szeged-a", "szeged-b", "budapest-r"}},
	{Name: "kozep", Cores: 32, RAM: 256, Local: 40, Fetch: 1, Price: 2.61, LowPrice: 1.21, Ready: 25, Yards: []string{"szeged-a", "szeged-b", "budapest-r"}},
	{Name: "nagy", Cores: 64, RAM: 256, Local: 60, Fetch: 0.3, Price: 4.23, LowPrice: 1.82, Ready: 20, Yards: []string{"szeged-a", "budapest-r"}},
	{Name: "tisza", Cores: 96, Cards: 8, RAM: 576, Local: 120, Fetch: 0.5, Price: 28.11, LowPrice: 12.45, Ready: 60, Yards: []string{"szeged-a", "szeged-b", "budapest-r"}},
}

// dispensa returns the settings of the site with chained jobs and the fewest controllers.
func dispensa() settings {
	s := settings{
		Count:     3,
		Zones:     []string{"arequipa", "lima-norte"},
		Workers:   timings{ReportS: 5, LeaseS: 31, GangWaitS: 45, GangPeerS: 5, CancelS: 61},
		State:     stateLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 20},
		Cloud:     cloudLimits{RPS: 4, ListLag: 4},
		Resources: object{"core_share": 0.06, "ram_mb": 125, "max_connections": 1500},
		SkewMS:    100,
	}
	for _, t := range []struct {
		name        string
		gpus, limit float64
	}{{"flota", 180, 700}, {"logistica", 180, 700}, {"tesoreria", 250, 1200}, {"comercial", 250, 800}, {"soporte", 300, 1500}, {"datos", 200, 1000}} {
		s.Teams = append(s.Teams, team{Name: t.name, GPUs: t.gpus, GPUsMax: t.limit})
	}
	return s
}

var dispensaTypes = []machineType{
	{Name: "chico", Cores: 4, RAM: 32, Local: 35, Fetch: 0.8, Price: 0.23, LowPrice: 0.11, Ready: 15, Yards: []string{"arequipa", "lima-norte"}},
	{Name: "grande", Cores: 32, RAM: 128, Local: 80, Fetch: 0.8, Price: 1.65, LowPrice: 0.69, Ready: 25, Yards: []string{"arequipa", "lima-norte"}},
}

// stateLatency is the time of a response of the state service in the site files.
const stateLatency = 5 * time.Millisecond
