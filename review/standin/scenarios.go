package main

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"history": historyScenario,
	"relay":   relayScenario,
	"sweep":   sweepScenario,
}
